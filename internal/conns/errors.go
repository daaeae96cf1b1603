package conns

import (
	"syscall"

	"github.com/go-faster/errors"
)

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsClosed reports whether err says that an idle connection was closed before the
// request was sent on it.
func IsClosed(err error) bool { return errors.Is(err, errConnClosed) }
