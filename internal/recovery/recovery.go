// Package recovery retries a call until it is answered or given up. Each kind of call
// implements its own attempts and classifies their failures; the decision whether and
// how to retry is shared by all kinds.
package recovery

import "context"

// Call is a call that may take several attempts.
type Call interface {
	// Choose selects the backend server for the next attempt. An error ends the call.
	Choose(ctx context.Context) error
	// Attempt sends the call once, or resumes the previous attempt. It returns nil if
	// the complete answer was received.
	Attempt(ctx context.Context) error
	// Abandoned returns the call's final error if the caller no longer waits for the
	// answer, and nil otherwise.
	Abandoned(ctx context.Context, err error) error
	// Classify describes the failure of the last attempt.
	Classify(ctx context.Context, err error) Failure
	// Apply carries out the decision on that failure. It releases the backend server
	// unless the call is resumed there. An error ends the call; for GiveUp, Apply always
	// returns one.
	Apply(ctx context.Context, d Decision, err error) error
}

// Run makes attempts until one returns the complete answer, or returns the error that
// ended the call.
func Run(ctx context.Context, c Call) error {
	resume := false
	for {
		if !resume {
			if err := c.Choose(ctx); err != nil {
				return err
			}
		}
		err := c.Attempt(ctx)
		if err == nil {
			return nil
		}
		if abandoned := c.Abandoned(ctx, err); abandoned != nil {
			return abandoned
		}
		d := Decide(c.Classify(ctx, err))
		if final := c.Apply(ctx, d, err); final != nil {
			return final
		}
		resume = d.Step == Resume
	}
}
