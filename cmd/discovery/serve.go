package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"meadowsill/internal/fleet/control"
	"meadowsill/internal/registry/replica"
)

// Defaults of serve's flags.
const (
	defaultStaleness     = 2 * time.Second
	defaultKeepRevisions = 1000
)

// serveFlags are the values of the flags of discovery serve.
type serveFlags struct {
	id               string
	dir              string
	fleetFile        string
	peers            []string
	routes           []string
	staleness        time.Duration
	snapshotInterval time.Duration
	keepRevisions    int
	snapshotAfter    uint64
}

// serveCmd returns the command discovery serve, which runs one replica.
func serveCmd() *cobra.Command {
	var flags serveFlags
	cmd := &cobra.Command{Use: "serve", Short: "Run one replica", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(flags) }}
	cmd.Flags().StringVar(&flags.id, "id", "", "this replica's id, one of the --peer ids")
	cmd.Flags().StringArrayVar(&flags.peers, "peer", nil, "ID=RAFT_ADDR=HTTP_ADDR of each replica, this one too")
	cmd.Flags().StringArrayVar(&flags.routes, "route", nil, "ID=ADDR: dial that peer's raft at ADDR, as through a relay")
	cmd.Flags().StringVar(&flags.dir, "dir", "", "where raft's log, stable store and snapshots are kept")
	cmd.Flags().StringVar(&flags.fleetFile, "fleet", "", "the fleet's settings, a TOML file (docs/fleet.md); without it there is no fleet")
	cmd.Flags().DurationVar(&flags.staleness, "staleness", defaultStaleness, "the longest a follower answers reads without contact to a leader")
	cmd.Flags().IntVar(&flags.keepRevisions, "keep-revisions", defaultKeepRevisions, "revisions a removed entry is kept before watches from before it get the complete list")
	cmd.Flags().Uint64Var(&flags.snapshotAfter, "snapshot-after", 0, "entries of raft's log after which a snapshot is due; 0: 2048")
	cmd.Flags().DurationVar(&flags.snapshotInterval, "snapshot-every", 0, "how often it is looked whether one is due, 5ms or more; 0: 5s")
	cmd.Flags().MarkHidden("snapshot-after") // for tests, which set small values so that snapshots are taken soon
	cmd.Flags().MarkHidden("snapshot-every")
	return cmd
}

// serve runs a replica until the process receives SIGTERM or SIGINT.
func serve(flags serveFlags) error {
	cfg, err := flags.config()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("replica", flags.id)
	cfg.Log = log
	r, err := replica.Start(cfg)
	if err != nil {
		return err
	}
	log.Info("serving", "http", cfg.Self.HTTP, "raft", cfg.Self.Raft, "peers", len(cfg.Peers))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	log.Info("ending")
	r.Close()
	return nil
}

// config returns the replica's configuration, or an error if the flags are invalid.
func (flags serveFlags) config() (replica.Config, error) {
	cfg := replica.Config{
		Dir:              flags.dir,
		Staleness:        flags.staleness,
		KeepRevisions:    flags.keepRevisions,
		SnapshotAfter:    flags.snapshotAfter,
		SnapshotInterval: flags.snapshotInterval,
		Routes:           map[string]string{},
	}
	for _, route := range flags.routes {
		peer, addr, ok := strings.Cut(route, "=")
		if !ok {
			return cfg, fmt.Errorf("--route %q is not ID=ADDR", route)
		}
		cfg.Routes[peer] = addr
	}
	for _, text := range flags.peers {
		peer, err := replica.ParsePeer(text)
		if err != nil {
			return cfg, err
		}
		cfg.Peers = append(cfg.Peers, peer)
		if peer.ID == flags.id {
			cfg.Self = peer
		}
	}
	if cfg.Self.ID == "" {
		return cfg, fmt.Errorf("--id %q is none of the --peer ids", flags.id)
	}
	if cfg.Dir == "" {
		return cfg, errors.New("--dir is needed: raft's log and snapshots are kept there")
	}
	if flags.fleetFile == "" {
		return cfg, nil
	}
	settings, err := readFleetSettings(flags.fleetFile)
	if err != nil {
		return cfg, err
	}
	cfg.Fleet = settings
	return cfg, nil
}

// readFleetSettings reads and parses the file of the fleet's settings.
func readFleetSettings(file string) (*control.Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--fleet: %w", err)
	}
	settings, err := control.ParseSettings(string(raw))
	if err != nil {
		return nil, fmt.Errorf("--fleet %s: %w", file, err)
	}
	return &settings, nil
}
