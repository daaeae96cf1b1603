package recovery

// Outcome says what a failed attempt reveals about the execution of the call.
type Outcome int

const (
	// Interrupted means that the connection broke, timed out or returned the answer
	// to another call. The call may have run.
	Interrupted Outcome = iota
	// NotRun means that the attempt did not run the call and never will.
	NotRun
	// Rejected means that the backend server rejected the call itself.
	Rejected
)

// Failure describes a failed attempt and the state of its call, as input to Decide.
type Failure struct {
	Outcome Outcome
	// MayHaveRun is true when this attempt or an earlier one may have run the call. A
	// resume that fails to dial did not run the call, but the attempt it resumes may have.
	MayHaveRun bool
	// Repeatable is true for a call that may run more than once.
	Repeatable bool
	// ResponseStarted is true once the caller has received part of the answer.
	ResponseStarted bool
	// CanContinue is true when another backend server can continue after that part.
	CanContinue bool
	// CanResume is true when the backend server still holds the call, so that it can be
	// resumed over a new connection.
	CanResume bool
	// Attempts is the number of attempts that count against MaxAttempts.
	Attempts, MaxAttempts int
	// OutOfTime is true when another attempt could not finish before the deadline.
	OutOfTime bool
	// TakeRetry takes one retry from the retry budget and returns false if the budget is
	// exhausted. It is called only if everything else allows another attempt.
	TakeRetry func() bool
}

// Step is the next action for a call after a failed attempt.
type Step int

const (
	// GiveUp ends the call.
	GiveUp Step = iota
	// Resume reconnects to the same backend server and continues after the last piece
	// received.
	Resume
	// Continue sends the call to another backend server, which continues after the part
	// the caller already has.
	Continue
	// Restart sends the call to another backend server from the beginning.
	Restart
)

// Reason explains why a step was chosen.
type Reason string

// Reasons returned by Decide. Those of the first group accompany GiveUp.
const (
	RejectedByServer  Reason = "rejected"
	AttemptsExhausted Reason = "attempts used"
	NoTimeLeft        Reason = "no time left"
	MayHaveRun        Reason = "may have run"
	NotContinuable    Reason = "the answer cannot be continued elsewhere"
	BudgetExhausted   Reason = "retry budget used"

	ConnectionLost     Reason = "the connection failed, the server still has the call"
	ResponseStarted    Reason = "another server can continue the answer"
	ResponseNotStarted Reason = "nothing has reached the caller"
)

// Decision is a step and the reason for it.
type Decision struct {
	Step   Step
	Reason Reason
}

// Decide returns the next step after a failed attempt. A call that must not run twice
// is sent to another server only if no earlier attempt can have run it. Once the caller
// has received part of the answer, only Resume and Continue are allowed: a restart could
// mix parts of two different answers.
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

// String returns the name of the step as it appears in logs.
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
