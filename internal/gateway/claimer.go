package gateway

import (
	"context"

	"github.com/fennelcourse/fennelcourse/internal/claims"
)

// StoreClaimer is a Claimer whose claims are kept in the platform's store.
type StoreClaimer struct {
	Manager *claims.Manager
}

// Claim implements Claimer.
func (s StoreClaimer) Claim(ctx context.Context, call claims.Call) (Claim, *claims.Answer, error) {
	claim, answer, err := s.Manager.Claim(ctx, call)
	if claim == nil {
		return nil, answer, err // converting a nil *claims.Claim would give a non-nil Claim
	}
	return claim, nil, nil
}
