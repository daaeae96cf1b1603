// Package internal pins the libraries of the design until each is used.
package internal

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/goccy/go-yaml"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/panjf2000/gnet/v2"
	_ "github.com/peterbourgon/ff/v4"
	_ "github.com/peterbourgon/ff/v4/ffhelp"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tmaxmax/go-sse"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
