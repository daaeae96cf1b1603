package main

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Size of the simulated deployment: two fabric domains, each in a zone of its own,
// and a plain service.
const (
	managedDomains      = 2
	managedVMsPerDomain = 8
	managedPlainServers = 2
)

func managedCommand(log *slog.Logger) *ff.Command {
	fs := ff.NewFlagSet("managed")
	listen := fs.StringLong("listen", "127.0.0.1:0", "ip:port of the key-value service")
	return &ff.Command{
		Name: "managed", Usage: "fennel-standin managed [FLAGS]", ShortHelp: "simulate the managed platform: key-value service, configuration and backend servers", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			mem := memstore.New(memstore.Options{})
			fleet := standin.NewFleet(mem, standin.DefaultOptions())
			defer fleet.Close()
			if err := populate(ctx, mem, fleet); err != nil {
				return err
			}
			handler := cancelRequestsWith(ctx, &standin.StoreHandler{Store: mem})
			return serve(ctx, log.With("standin", "managed"), *listen, handler, mem.Close)
		},
	}
}

// populate starts the backend servers and stores the first configuration.
func populate(ctx context.Context, s store.Store, fleet *standin.Fleet) error {
	for d := range managedDomains {
		zone := fmt.Sprintf("zone-%d", d)
		for i := range managedVMsPerDomain {
			if _, err := fleet.Add(fmt.Sprintf("vm-%d-%d", d, i), "models", zone, fmt.Sprintf("rack-%d", d)); err != nil {
				return err
			}
		}
	}
	for i := range managedPlainServers {
		if _, err := fleet.Add(fmt.Sprintf("desk-%d", i), "desk", fmt.Sprintf("zone-%d", i), ""); err != nil {
			return err
		}
	}
	const firstVersion = 1
	text := fmt.Sprintf(standin.SmallConfig, firstVersion, "")
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Put(platform.ConfigKey, []byte(text), 0)}})
	return err
}
