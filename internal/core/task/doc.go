// Package task holds the life cycle of a task as one transition table, and the
// codecs of task and job rows.
//
// A task has at most one live attempt: in the states placed, running,
// checkpointed and resumed. A new attempt is placed only from pending or
// evicted, which a live attempt leaves to only by proof that it no longer runs.
package task
