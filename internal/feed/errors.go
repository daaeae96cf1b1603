package feed

import "github.com/go-faster/errors"

var (
	errStale  = errors.New("this node's copy of the store may be stale")
	errBehind = errors.New("the follower cannot keep up with the changes")
)
