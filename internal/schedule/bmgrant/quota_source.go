package bmgrant

import (
	"basilmoor.example/basilmoor"
)

// refusalSource returns the part of an account that is over the quota after
// tryCharge has refused tokens. partial is the source if the quota of the whole
// fleet would permit them.
func (q *quotas) refusalSource(workspace string, tokens int, partial basilmoor.RefusalSource) basilmoor.RefusalSource {
	acc, limited := q.accounts[workspace]
	if !limited {
		return ""
	}
	over := q.used(acc) + float64(tokens) - q.windowQuota(acc)
	switch {
	case over <= float64(acc.assumedTokens()):
		return basilmoor.SourceAssumedSpending
	case q.share < 1:
		return partial
	}
	return basilmoor.SourceFleetQuota
}

// assumedTokens returns the tokens of the last window that are not known to have
// been spent.
func (acc *account) assumedTokens() int {
	sum := 0
	for _, s := range acc.spent {
		if s.assumed {
			sum += s.tokens
		}
	}
	return sum
}
