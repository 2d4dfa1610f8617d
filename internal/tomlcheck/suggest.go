package tomlcheck

import "strings"

func (s Schema) names() []string {
	var names []string
	for i := range s {
		if s[i].Name != "" {
			names = append(names, s[i].Name)
		}
	}
	return names
}

func (t *Table) keys() []string {
	keys := make([]string, 0, len(t.Fields))
	for i := range t.Fields {
		keys = append(keys, t.Fields[i].Key)
	}
	return keys
}

// suggest returns the known word nearest to an unknown one, or all known words if
// Nearest finds none.
func suggest(word string, known []string) string {
	if best := Nearest(word, known); best != "" {
		return `"` + best + `"`
	}
	return "one of " + strings.Join(known, ", ")
}

// Nearest returns the known word with the smallest edit distance to word, for
// suggestions after a typing mistake. It returns "" if more than a third of the
// bytes of word, plus one, would have to change.
func Nearest(word string, known []string) string {
	best := ""
	bestDistance := len(word)/3 + 1
	for _, k := range known {
		if n := editDistance(word, k); n <= bestDistance && (best == "" || n < bestDistance) {
			best = k
			bestDistance = n
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
