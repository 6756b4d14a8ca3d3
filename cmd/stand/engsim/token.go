package engsim

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields(`a again all and any are as at be below both by can core day each end even far few
first for from go half has here high if in is it keep large last left less light line long low many may mean more
most near new next no not now of off on one only open or other over part place right same see set short side small
so some step still than that the then there these this time to true two under until up use very way we well when
where which while wide will with work yes yet zero`)

// Token returns the token of an answer at an index; all but the first start with a space.
func Token(prompt string, index int) string {
	h := xxhash.Sum64String(strconv.Itoa(index) + "\n" + prompt)
	word := vocabulary[h%uint64(len(vocabulary))]
	if index == 0 {
		return word
	}
	return " " + word
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = Token(prompt, i)
	}
	return out
}

// countTokens returns the length of a prompt in tokens; each word is one token.
func countTokens(prompt string) int { return max(1, len(strings.Fields(prompt))) }

// diverges reports whether the emitted tokens of a resumed stream differ from those that the engine generates.
func diverges(prompt string, emitted []string) bool {
	for i, t := range emitted {
		if t != Token(prompt, i) {
			return true
		}
	}
	return false
}
