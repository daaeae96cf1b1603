// Package ctl implements fennelctl, the operators' command-line tool.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// ExitCode is the exit code of the process.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed: the command failed, or the rules file has errors.
	ExitFailed ExitCode = 1
	ExitUsage  ExitCode = 2
	// ExitConflict: another operator's change was accepted first; nothing was changed.
	ExitConflict ExitCode = 3
	// ExitNotInForce: the revision was not in force on all nodes within --timeout. A change
	// that apply sent was accepted.
	ExitNotInForce ExitCode = 4
)

// exitError ends the command with an exit code. An empty message means that the error was
// already printed.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, message: fmt.Sprintf(format, args...)}
}

// app is one invocation: its outputs and the flags that all commands share.
type app struct {
	out, log io.Writer
	servers  []string
	ca       string
	cert     string
	key      string
	json     bool
	version  bool
	timeout  time.Duration
	flags    *ff.FlagSet
}

const (
	defaultTimeout = time.Minute
	// Environment variables that provide defaults for flags. They are not read by the flags
	// library, which would append the list of servers to the one on the command line.
	envServer = "FENNELCTL_SERVER"
	envCA     = "FENNELCTL_CA"
	envCert   = "FENNELCTL_CERT"
	envKey    = "FENNELCTL_KEY"
)

const rootHelp = `Connects to any node of the system; all nodes give the same answers. Exit codes:
0 success, 1 failure, 2 usage error, 3 conflict with another operator's change,
4 not in force on all nodes within --timeout. --server, --ca, --cert and --key can
also be set by FENNELCTL_SERVER, FENNELCTL_CA, FENNELCTL_CERT and FENNELCTL_KEY.

EXAMPLES
  export FENNELCTL_SERVER=10.1.0.4:8444,10.1.0.5:8444
  fennelctl rules show > rules.txt      # then edit rules.txt
  fennelctl rules check rules.txt
  fennelctl rules apply rules.txt --wait
  fennelctl status
  fennelctl explain --path /v1/chat/completions --model assistente-fit --team escola-a
  fennelctl outages --from 2026-11-01 --to 2026-12-01 --json
  fennelctl losses front-*.log`

// Run executes one command line. args does not include the program's name.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	a := &app{out: stdout, log: stderr}
	root := a.rootCommand()
	err := root.Parse(flagsFirst(root, args))
	switch {
	case errors.Is(err, ff.ErrHelp):
		printHelp(stdout, root)
		return ExitOK
	case err != nil:
		printf(stderr, "fennelctl: %v\nSee %s --help.\n", err, commandPath(root.GetSelected()))
		return ExitUsage
	case a.version:
		printf(stdout, "fennelctl %s\n", buildVersion())
		return ExitOK
	}
	return a.exitCode(root, root.Run(ctx))
}

func (a *app) exitCode(root *ff.Command, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		selected := root.GetSelected()
		if args := selected.Flags.GetArgs(); len(args) > 0 {
			printf(a.log, "fennelctl: unknown command %q, want one of %s\nSee %s --help.\n", args[0], subcommandNames(selected), commandPath(selected))
			return ExitUsage
		}
		printHelp(a.log, root)
		return ExitUsage
	}
	code := ExitFailed
	if exit, ok := errors.Into[*exitError](err); ok {
		code = exit.code
	}
	if message := err.Error(); message != "" {
		printf(a.log, "fennelctl: %s\n", message)
	}
	if code == ExitUsage {
		printf(a.log, "See %s --help.\n", commandPath(root.GetSelected()))
	}
	return code
}

func (a *app) rootCommand() *ff.Command {
	fs := ff.NewFlagSet("fennelctl")
	a.flags = fs
	fs.StringListVar(&a.servers, 's', "server", "ADDR[,ADDR]: control address of a node; repeatable, tried in turn. https unless http:// is given")
	fs.StringVar(&a.ca, 0, "ca", os.Getenv(envCA), "FILE: PEM of the CA that signed the nodes' certificates")
	fs.StringVar(&a.cert, 0, "cert", os.Getenv(envCert), "FILE: PEM of the operator's certificate")
	fs.StringVar(&a.key, 0, "key", os.Getenv(envKey), "FILE: PEM of the operator's key")
	fs.BoolVar(&a.json, 0, "json", "print JSON")
	fs.DurationVar(&a.timeout, 't', "timeout", defaultTimeout, "give up after this long")
	fs.BoolVar(&a.version, 0, "version", "print the version and exit")
	return &ff.Command{
		Name:      "fennelctl",
		Usage:     "fennelctl COMMAND [FLAGS]",
		ShortHelp: "operate a fennelcourse system",
		LongHelp:  rootHelp,
		Flags:     fs,
		Subcommands: []*ff.Command{
			a.rulesCommand(),
			a.statusCommand(),
			a.explainCommand(),
			a.outagesCommand(),
			a.lossesCommand(),
		},
	}
}

// subFlags returns a flag set for a subcommand, which inherits the shared flags.
func (a *app) subFlags(name string) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(a.flags)
}

// flagsFirst moves flags in front of the positional arguments, so that
// `rules apply FILE --wait` works: the flags library stops parsing at the first argument
// that is not a flag.
func flagsFirst(root *ff.Command, args []string) []string {
	var path, flags, rest []string
	cmd := root
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if arg == "--" {
			rest = append(rest, args[i:]...)
			break
		}
		if len(arg) > 1 && arg[0] == '-' {
			flags = append(flags, arg)
			if takesValue(cmd, arg) && i+1 < len(args) {
				i++
				flags = append(flags, args[i])
			}
			continue
		}
		if sub := subcommand(cmd, arg); sub != nil && len(rest) == 0 {
			cmd = sub
			path = append(path, arg)
			continue
		}
		rest = append(rest, arg)
	}
	return append(append(path, flags...), rest...)
}

func subcommand(cmd *ff.Command, name string) *ff.Command {
	for _, sub := range cmd.Subcommands {
		if sub.Name == name {
			return sub
		}
	}
	return nil
}

func subcommandNames(cmd *ff.Command) string {
	names := make([]string, len(cmd.Subcommands))
	for i, sub := range cmd.Subcommands {
		names[i] = sub.Name
	}
	return strings.Join(names, ", ")
}

func takesValue(cmd *ff.Command, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	flag, ok := cmd.Flags.GetFlag(name)
	if !ok {
		return false
	}
	b, isBool := flag.(interface{ IsBoolFlag() bool })
	return !isBool || !b.IsBoolFlag()
}

func commandPath(cmd *ff.Command) string {
	if cmd == nil {
		return "fennelctl"
	}
	if parent := cmd.GetParent(); parent != nil {
		return commandPath(parent) + " " + cmd.Name
	}
	return cmd.Name
}

func printHelp(w io.Writer, root *ff.Command) {
	printf(w, "%s\n", ffhelp.Command(root))
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version + " " + info.GoVersion
}
