// Command discovery is the project's discovery service (docs/discovery.md).
//
//	discovery serve --id a --peer a=RAFT=HTTP --peer b=RAFT=HTTP --peer c=RAFT=HTTP --dir DATA
//	discovery agent --replica HTTP --replica HTTP --listen 127.0.0.1:PORT
//	discovery serve ... --fleet FILE.toml
//	discovery agent ... --node NAME --zone ZONE --dir DATA [--service NAME ...]
//	discovery tenants apply FILE | status NAME | delete NAME --replica HTTP --replica HTTP
//
// serve runs one replica of three or five: PROTOCOL's GET /registry/instances and the registration API.
// agent runs beside a node and serves it the list it watches from the replicas.
// With --fleet and --node the two are the control plane and the agent of docs/fleet.md, too.
package main

import (
	"context"
	"encoding/json"
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
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/registry/agent"
	"meadowsill/internal/registry/replica"
)

func main() {
	root := &cobra.Command{Use: "discovery", Short: "The list of app servers, replicated", SilenceUsage: true}
	root.AddCommand(serveCmd(), agentCmd(), tenantsCmd())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func serveCmd() *cobra.Command {
	var id, dir, fleetFile string
	var peers, routes []string
	var staleness, snapEvery time.Duration
	var keep int
	var snapAfter uint64
	cmd := &cobra.Command{Use: "serve", Short: "Run one replica", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := replica.Config{Dir: dir, Staleness: staleness, KeepRevisions: keep, SnapshotAfter: snapAfter, SnapshotInterval: snapEvery, Routes: map[string]string{}}
			for _, r := range routes {
				peer, addr, ok := strings.Cut(r, "=")
				if !ok {
					return fmt.Errorf("--route %q is not ID=ADDR", r)
				}
				cfg.Routes[peer] = addr
			}
			for _, text := range peers {
				p, err := replica.ParsePeer(text)
				if err != nil {
					return err
				}
				cfg.Peers = append(cfg.Peers, p)
				if p.ID == id {
					cfg.Self = p
				}
			}
			if cfg.Self.ID == "" {
				return fmt.Errorf("--id %q is none of the --peer ids", id)
			}
			if dir == "" {
				return fmt.Errorf("--dir is needed: raft's log and snapshots are kept there")
			}
			if fleetFile != "" {
				raw, err := os.ReadFile(fleetFile)
				if err != nil {
					return fmt.Errorf("--fleet: %w", err)
				}
				set, err := control.ParseSettings(string(raw))
				if err != nil {
					return fmt.Errorf("--fleet %s: %w", fleetFile, err)
				}
				cfg.Fleet = &set
			}
			log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("replica", id)
			cfg.Log = log
			rep, err := replica.Start(cfg)
			if err != nil {
				return err
			}
			log.Info("serving", "http", cfg.Self.HTTP, "raft", cfg.Self.Raft, "peers", len(cfg.Peers))
			sig := make(chan os.Signal, 1)
			signal.Notify(sig, syscall.SIGTERM, os.Interrupt)
			<-sig
			log.Info("ending")
			rep.Close()
			return nil
		}}
	cmd.Flags().StringVar(&id, "id", "", "this replica's id, one of the --peer ids")
	cmd.Flags().StringArrayVar(&peers, "peer", nil, "ID=RAFT_ADDR=HTTP_ADDR of each replica, this one too")
	cmd.Flags().StringArrayVar(&routes, "route", nil, "ID=ADDR: dial that peer's raft at ADDR, as through a relay")
	cmd.Flags().StringVar(&dir, "dir", "", "where raft's log, stable store and snapshots are kept")
	cmd.Flags().StringVar(&fleetFile, "fleet", "", "the fleet's settings, a TOML file (docs/fleet.md); without it there is no fleet")
	cmd.Flags().DurationVar(&staleness, "staleness", 2*time.Second, "the longest a follower answers reads without a leader's word")
	cmd.Flags().IntVar(&keep, "keep-revisions", 1000, "revisions a gone entry is kept before watches from before it get the whole list")
	cmd.Flags().Uint64Var(&snapAfter, "snapshot-after", 0, "entries of raft's log after which a snapshot is due; 0: 2048")
	cmd.Flags().DurationVar(&snapEvery, "snapshot-every", 0, "how often it is looked whether one is due, 5ms or more; 0: 5s")
	cmd.Flags().MarkHidden("snapshot-after") // of tests: small ones make snapshots come at once
	cmd.Flags().MarkHidden("snapshot-every")
	return cmd
}

func agentCmd() *cobra.Command {
	var replicas, via, services []string
	var listen, addrMap, node, zone, dir string
	cmd := &cobra.Command{Use: "agent", Short: "Serve a node the list watched from the replicas", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if len(replicas) == 0 {
				return fmt.Errorf("--replica is needed, once for each replica's HTTP address")
			}
			if node != "" && (zone == "" || dir == "") || node == "" && (zone != "" || dir != "") {
				return fmt.Errorf("--node, --zone and --dir go together: the node whose fleet half this is, its zone, and where the copy of the intent is kept")
			}
			if node == "" && len(services) > 0 {
				return fmt.Errorf("--service needs --node: it names whose tenants that node serves")
			}
			slices.Sort(services)
			if err := fleet.ValidScope(services); err != nil {
				return fmt.Errorf("--service: %w", err)
			}
			log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("agent", listen)
			ln, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			dial, err := routes(via)
			if err != nil {
				return err
			}
			a := agent.New(replicas, log)
			a.Dial(dial)
			if addrMap != "" {
				raw, err := os.ReadFile(addrMap)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(raw, &a.Addresses); err != nil {
					return fmt.Errorf("--addr-map %s: %w", addrMap, err)
				}
			}
			go a.Watch(ctx)
			handler := http.Handler(a)
			if node != "" {
				if handler, err = fleetHalf(ctx, a, fleetagent.Config{Node: node, Zone: zone, Services: services, Dir: dir, Replicas: replicas, Dial: dial, Log: log}); err != nil {
					return err
				}
			}
			srv := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
			go func() { <-ctx.Done(); srv.Close() }()
			log.Info("serving", "listen", ln.Addr().String(), "replicas", len(replicas))
			if err := srv.Serve(ln); err != http.ErrServerClosed {
				return err
			}
			return nil
		}}
	cmd.Flags().StringArrayVar(&replicas, "replica", nil, "a replica's HTTP address; once for each")
	cmd.Flags().StringArrayVar(&via, "route", nil, "HTTP=ADDR: reach that replica at ADDR, as through a relay")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "where the node asks, on loopback")
	cmd.Flags().StringVar(&node, "node", "", "the node's name in the fleet: turns on the fleet half (docs/fleet.md)")
	cmd.Flags().StringVar(&zone, "zone", "", "the node's zone; with --node")
	cmd.Flags().StringArrayVar(&services, "service", nil, "a service whose tenants the node serves, once for each; none: every service; with --node")
	cmd.Flags().StringVar(&dir, "dir", "", "where the durable copy of the intent is kept; with --node")
	cmd.Flags().StringVar(&addrMap, "addr-map", "", "a JSON file of server id to the address this machine reaches it at")
	return cmd
}

// fleetHalf starts the agent's fleet half and gives a handler of its paths, its metrics, and the list for all else.
func fleetHalf(ctx context.Context, list http.Handler, cfg fleetagent.Config) (http.Handler, error) {
	reg := prometheus.NewRegistry()
	f, err := fleetagent.Start(ctx, cfg, reg)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	f.Routes(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.Handle("/", list)
	return mux, nil
}

// routes returns a dialer that reaches the replicas named in "HTTP=ADDR" at ADDR.
func routes(via []string) (func(ctx context.Context, network, addr string) (net.Conn, error), error) {
	to := map[string]string{}
	for _, v := range via {
		replica, addr, ok := strings.Cut(v, "=")
		if !ok {
			return nil, fmt.Errorf("--route %q is not HTTP=ADDR", v)
		}
		to[replica] = addr
	}
	d := net.Dialer{Timeout: 2 * time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if via, ok := to[addr]; ok {
			addr = via
		}
		return d.DialContext(ctx, network, addr)
	}, nil
}
