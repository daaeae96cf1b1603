package feed

import "github.com/go-faster/errors"

var (
	errStale     = errors.New("this node's copy of the store may be stale")
	errMalformed = errors.New("the feed's message is malformed")
	errBehind    = errors.New("the follower cannot keep up with the changes")
)
