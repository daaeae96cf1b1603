package recovery

// Outcome is what a failed attempt shows of the call's run.
type Outcome int

const (
	// Interrupted: the attempt broke off, went silent or brought another call's
	// answer. The call may have run.
	Interrupted Outcome = iota
	// NotRun: the attempt certainly did not run the call and never will.
	NotRun
	// Rejected: the backend server's final word on the call itself.
	Rejected
)

// Failure is all that the next step after a failed attempt depends on.
type Failure struct {
	Outcome Outcome
	// MayHaveRun is true when this attempt or an earlier one may have run the call. A
	// resume whose dial fails did not run it, but the attempt that it resumes may have.
	MayHaveRun bool
	// Repeatable is true for a call that may run more than once.
	Repeatable bool
	// ResponseStarted is true once the caller has a part of the answer.
	ResponseStarted bool
	// CanContinue is true when another backend server can go on after that part.
	CanContinue bool
	// CanResume is true when the backend server still has the call, so that a new
	// connection can resume it.
	CanResume bool
	// Attempts counts the attempts that used up the call's allowance.
	Attempts, MaxAttempts int
	// OutOfTime is true when another attempt could bring nothing in time.
	OutOfTime bool
	// TakeRetry spends one repeat, or reports false. It is asked only when all else
	// allows another attempt.
	TakeRetry func() bool
}

// Step is how a call goes on.
type Step int

const (
	// GiveUp ends the call.
	GiveUp Step = iota
	// Resume goes to the same backend server again, after the part that came.
	Resume
	// Continue goes to another one, after the part that the caller has.
	Continue
	// Restart goes to another one, from the start.
	Restart
)

// Reason tells why a step was chosen.
type Reason string

// Reasons of Decide. The first ones are those of giving up.
const (
	RejectedByServer  Reason = "rejected"
	AttemptsExhausted Reason = "attempts used"
	NoTimeLeft        Reason = "no time left"
	MayHaveRun        Reason = "may have run"
	NotContinuable    Reason = "the answer cannot be continued elsewhere"
	BudgetExhausted   Reason = "retry budget used"

	ConnectionLost     Reason = "the connection failed, the server still has the call"
	ResponseStarted    Reason = "another server can go on"
	ResponseNotStarted Reason = "nothing has reached the caller"
)

// Decision is a step with its reason.
type Decision struct {
	Step   Step
	Reason Reason
}

// Decide says how a call goes on after a failed attempt. A call that must not run
// twice goes on elsewhere only when no attempt can have run it. Once the caller has
// a part of the answer, only a resume or a continuation may follow: parts of two
// runs that differ would make up an answer that nobody gave.
func Decide(f Failure) Decision {
	switch {
	case f.Outcome == Rejected:
		return Decision{GiveUp, RejectedByServer}
	case f.Attempts >= f.MaxAttempts:
		return Decision{GiveUp, AttemptsExhausted}
	case f.OutOfTime:
		return Decision{GiveUp, NoTimeLeft}
	case f.Outcome == Interrupted && f.CanResume:
		return Decision{Resume, ConnectionLost}
	case !f.Repeatable && (f.MayHaveRun || f.Outcome == Interrupted):
		return Decision{GiveUp, MayHaveRun}
	case f.ResponseStarted && !f.CanContinue:
		return Decision{GiveUp, NotContinuable}
	case !f.TakeRetry():
		return Decision{GiveUp, BudgetExhausted}
	case f.ResponseStarted:
		return Decision{Continue, ResponseStarted}
	default:
		return Decision{Restart, ResponseNotStarted}
	}
}

// String names the step for logs.
func (s Step) String() string {
	switch s {
	case Resume:
		return "resume"
	case Continue:
		return "continue"
	case Restart:
		return "restart"
	default:
		return "give-up"
	}
}
