package gateway

import (
	"context"

	"github.com/fennelcourse/fennelcourse/internal/claims"
)

// StoreClaimer is the Claimer that keeps its claims in the platform's store.
type StoreClaimer struct {
	Manager *claims.Manager
}

// Claim implements Claimer.
func (s StoreClaimer) Claim(ctx context.Context, call claims.Call) (Claim, *claims.Answer, error) {
	claim, answer, err := s.Manager.Claim(ctx, call)
	if claim == nil {
		return nil, answer, err // a nil *claims.Claim must not become a non-nil Claim
	}
	return claim, nil, nil
}
