// Package recovery takes a call from attempt to attempt until its caller has an
// answer or the call is given up. What an attempt is and what its failure proves,
// each kind of call tells itself; how a call may go on is decided here, alike for all.
package recovery

import "context"

// Call is one call on its way.
type Call interface {
	// Choose takes a backend server for the next attempt. Its error ends the call.
	Choose(ctx context.Context) error
	// Attempt sends the call once, or resumes it where it was; nil means that the
	// whole answer came.
	Attempt(ctx context.Context) error
	// Abandoned returns the call's last error when nobody waits for its answer any more,
	// else nil.
	Abandoned(ctx context.Context, err error) error
	// Classify says what the failure of the last attempt proves.
	Classify(ctx context.Context, err error) Failure
	// Apply carries out the decision on that failure: it frees the backend server
	// unless the call is resumed there. Its error ends the call; on GiveUp it
	// returns one.
	Apply(ctx context.Context, d Decision, err error) error
}

// Run takes the call to its end: nil once an attempt brought the whole answer, else
// the error that ended it.
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
		if gone := c.Abandoned(ctx, err); gone != nil {
			return gone
		}
		d := Decide(c.Classify(ctx, err))
		if end := c.Apply(ctx, d, err); end != nil {
			return end
		}
		resume = d.Step == Resume
	}
}
