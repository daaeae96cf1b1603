package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// FieldError names the field that is wrong, what was found and what would be right.
type FieldError struct {
	Field, Found, Want string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %q; want %s", e.Field, e.Found, e.Want)
}

// Errors are all faults of one file.
type Errors []error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// yamlError turns the YAML library's error into one that shows no source: the
// lines around a fault may hold a key's secret, and the text goes into the log.
func yamlError(err error) *FieldError {
	fault, ok := errors.Into[yaml.Error](err)
	if !ok || fault.GetToken() == nil {
		return &FieldError{"settings", notShown, "YAML: " + yaml.FormatError(err, false, false)}
	}
	at := fault.GetToken().Position
	where := fmt.Sprintf("line %d, column %d", at.Line, at.Column)
	unknown, ok := errors.Into[*yaml.UnknownFieldError](err)
	if ok {
		return &FieldError{where, unknown.Token.Value, "a known key (examples/ has all of them)"}
	}
	mismatch, ok := errors.Into[*yaml.TypeError](err)
	if ok {
		return &FieldError{where, "a value read as " + mismatch.SrcType.String(), wantType(mismatch.DstType)}
	}
	return &FieldError{where, notShown, "YAML without this fault: " + fault.GetMessage()}
}

func wantType(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return wantDuration
	}
	return "a value of type " + t.String()
}
