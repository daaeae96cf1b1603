package fennelerr

import "net/http"

// statusByCode maps codes to HTTP statuses; all other codes map to 500.
var statusByCode = map[Code]int{
	InvalidRequest:     http.StatusBadRequest,
	Unauthenticated:    http.StatusUnauthorized,
	PermissionDenied:   http.StatusForbidden,
	NotFound:           http.StatusNotFound,
	ModelNotFound:      http.StatusNotFound,
	TooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	Conflict:           http.StatusConflict,
	KeyReused:          http.StatusUnprocessableEntity,
	KeyInProgress:      http.StatusConflict,
	KeyExpired:         http.StatusGone,
	KeyRequired:        http.StatusBadRequest,
	OutcomeUnknown:     http.StatusBadGateway,
	AlreadyRun:         http.StatusConflict,
	Quarantined:        http.StatusUnprocessableEntity,
	Overloaded:         http.StatusTooManyRequests,
	LimitExceeded:      http.StatusTooManyRequests,
	DeadlineTooShort:   http.StatusServiceUnavailable,
	NoReplica:          http.StatusServiceUnavailable,
	ServersUnreachable: http.StatusServiceUnavailable,
	StoreUnavailable:   http.StatusServiceUnavailable,
	LeaseLost:          http.StatusServiceUnavailable,
	BackendFailed:      http.StatusBadGateway,
	StreamTruncated:    http.StatusBadGateway,
	AnswerMismatch:     http.StatusBadGateway,
	NotReady:           http.StatusServiceUnavailable,
	MemoryFull:         http.StatusServiceUnavailable,
	Timeout:            http.StatusGatewayTimeout,
}

// HTTPStatus returns the HTTP status of an error response with this code.
func (c Code) HTTPStatus() int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
