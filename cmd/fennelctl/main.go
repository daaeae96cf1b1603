// Command fennelctl is the operators' command-line tool. It connects to any node.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fennelcourse/fennelcourse/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
