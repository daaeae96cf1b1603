package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// FieldError reports an invalid field: its name, the value found and what is expected.
type FieldError struct {
	Field, Found, Want string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %q; want %s", e.Field, e.Found, e.Want)
}

// Errors lists all errors found in one file.
type Errors []error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// yamlError converts an error of the YAML library to one that quotes no source text:
// the lines around the error may contain a key's secret, and the message is logged.
func yamlError(err error) *FieldError {
	yamlErr, ok := errors.Into[yaml.Error](err)
	if !ok || yamlErr.GetToken() == nil {
		return &FieldError{"settings", redacted, "YAML: " + yaml.FormatError(err, false, false)}
	}
	position := yamlErr.GetToken().Position
	location := fmt.Sprintf("line %d, column %d", position.Line, position.Column)
	unknown, ok := errors.Into[*yaml.UnknownFieldError](err)
	if ok {
		return &FieldError{location, unknown.Token.Value, "a known key (see the files in examples/)"}
	}
	mismatch, ok := errors.Into[*yaml.TypeError](err)
	if ok {
		return &FieldError{location, "a value read as " + mismatch.SrcType.String(), wantType(mismatch.DstType)}
	}
	return &FieldError{location, redacted, "valid YAML: " + yamlErr.GetMessage()}
}

func wantType(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return wantDuration
	}
	return "a value of type " + t.String()
}
