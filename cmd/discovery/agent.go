package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"meadowsill/internal/fleet"
	fleetagent "meadowsill/internal/fleet/agent"
	"meadowsill/internal/registry/agent"
)

const (
	dialTimeout       = 2 * time.Second // to connect to a replica
	headerReadTimeout = 5 * time.Second // to read the headers of a node's request
)

// agentFlags are the values of the flags of discovery agent.
type agentFlags struct {
	replicas   []string
	routes     []string
	services   []string
	listen     string
	addressMap string
	node       string
	zone       string
	dir        string
}

// agentCmd returns the command discovery agent, which runs a node's agent.
func agentCmd() *cobra.Command {
	var flags agentFlags
	cmd := &cobra.Command{Use: "agent", Short: "Serve a node the list watched from the replicas", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			return runAgent(flags)
		}}
	cmd.Flags().StringArrayVar(&flags.replicas, "replica", nil, "a replica's HTTP address; once for each")
	cmd.Flags().StringArrayVar(&flags.routes, "route", nil, "HTTP=ADDR: reach that replica at ADDR, as through a relay")
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:0", "where the node reads the list, on loopback")
	cmd.Flags().StringVar(&flags.node, "node", "", "the node's name in the fleet: turns on the agent's part in the fleet (docs/fleet.md)")
	cmd.Flags().StringVar(&flags.zone, "zone", "", "the node's zone; with --node")
	cmd.Flags().StringArrayVar(&flags.services, "service", nil, "a service whose tenants the node serves, once for each; none: every service; with --node")
	cmd.Flags().StringVar(&flags.dir, "dir", "", "where the durable copy of the intent is kept; with --node")
	cmd.Flags().StringVar(&flags.addressMap, "addr-map", "", "a JSON file of server id to the address this machine reaches it at")
	return cmd
}

// check returns an error if the flags are invalid. It sorts the services.
func (flags agentFlags) check() error {
	if len(flags.replicas) == 0 {
		return errors.New("--replica is needed, once for each replica's HTTP address")
	}
	inFleet := flags.node != ""
	if inFleet && (flags.zone == "" || flags.dir == "") || !inFleet && (flags.zone != "" || flags.dir != "") {
		return errors.New("--node, --zone and --dir go together: the node whose fleet half this is, its zone, and where the copy of the intent is kept")
	}
	if !inFleet && len(flags.services) > 0 {
		return errors.New("--service needs --node: it names whose tenants that node serves")
	}
	slices.Sort(flags.services)
	if err := fleet.ValidScope(flags.services); err != nil {
		return fmt.Errorf("--service: %w", err)
	}
	return nil
}

// runAgent runs the agent until the process receives SIGTERM or SIGINT.
func runAgent(flags agentFlags) error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("agent", flags.listen)
	listener, err := net.Listen("tcp", flags.listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	dial, err := dialerWithRoutes(flags.routes)
	if err != nil {
		return err
	}
	list := agent.New(flags.replicas, log)
	list.Dial(dial)
	if flags.addressMap != "" {
		if list.Addresses, err = readAddressMap(flags.addressMap); err != nil {
			return err
		}
	}
	go list.Watch(ctx)
	handler := http.Handler(list)
	if flags.node != "" {
		cfg := fleetagent.Config{
			Node:     flags.node,
			Zone:     flags.zone,
			Services: flags.services,
			Dir:      flags.dir,
			Replicas: flags.replicas,
			Dial:     dial,
			Log:      log,
		}
		if handler, err = startFleetAgent(ctx, list, cfg); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	log.Info("serving", "listen", listener.Addr().String(), "replicas", len(flags.replicas))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readAddressMap reads a JSON file that maps a server's id to the address at which this machine reaches the server.
func readAddressMap(file string) (map[string]string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var addresses map[string]string
	if err := json.Unmarshal(raw, &addresses); err != nil {
		return nil, fmt.Errorf("--addr-map %s: %w", file, err)
	}
	return addresses, nil
}

// startFleetAgent starts the agent's part in the fleet. It returns a handler that serves the fleet's paths, the metrics, and list
// for all other paths.
func startFleetAgent(ctx context.Context, list http.Handler, cfg fleetagent.Config) (http.Handler, error) {
	metrics := prometheus.NewRegistry()
	f, err := fleetagent.Start(ctx, cfg, metrics)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	f.Routes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.Handle("/", list)
	return mux, nil
}

// dialerWithRoutes returns a dial function that connects to ADDR in place of HTTP for each route "HTTP=ADDR".
func dialerWithRoutes(routes []string) (func(ctx context.Context, network, addr string) (net.Conn, error), error) {
	routed := map[string]string{}
	for _, route := range routes {
		replica, addr, ok := strings.Cut(route, "=")
		if !ok {
			return nil, fmt.Errorf("--route %q is not HTTP=ADDR", route)
		}
		routed[replica] = addr
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if route, ok := routed[addr]; ok {
			addr = route
		}
		return dialer.DialContext(ctx, network, addr)
	}, nil
}
