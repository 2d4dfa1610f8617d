// Package intake decides which requests of untrusted clients a process admits, and
// which incomplete ones it gives up, so that no number of clients exhausts its memory or
// its descriptors.
//
// # Contract
//
// A Pool admits charges in bytes up to a fixed sum. Each charge covers memory that
// the caller is about to allocate, and is released when that memory is no longer
// referenced. Small charges may use the whole sum, large ones together no more than what
// a reserve leaves over; those that do not fit wait, small ones first, otherwise in order of
// arrival. While charges wait, Press names the holders to give up: of those whose
// client still has to send something, the ones that have been silent for longest.
// Slots does the same for connections: when all are in use, Victim names the
// connection to close.
//
// # Load
//
// Hundreds of clients that send legal requests and stall just before the end, finish
// them at the same time, or open connections without sending anything. An ordinary
// small request must be admitted while they hold the sum.
//
// # State
//
// Sums, queues and the time of each holder's last progress, in memory of the process.
// Nothing is shared between processes or stored.
//
// # Failure modes
//
// A holder that has nothing left to send is never given up, so holders that do not end
// block the pool; callers bound the time for which they hold a charge. A charge above
// the sum is cut to the largest that fits, and then is the only large one; callers bound the size
// of requests where that is not acceptable. A holder that was named by Press or Victim
// counts until it is released, so that memory still in use is never given twice. If no
// holder has been silent for MinStall, nothing is given up and new charges wait.
//
// Types of this package are not safe for concurrent use.
package intake
