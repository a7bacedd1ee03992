// Command listd is the project's discovery service (docs/discovery.md).
//
//	listd serve --id a --peer a=RAFT=HTTP --peer b=RAFT=HTTP --peer c=RAFT=HTTP --dir DATA
//
// serves PROTOCOL's GET /registry/instances and the registration API as one replica of three or five.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"starlingvalve/internal/registry/replica"
)

func main() {
	root := &cobra.Command{Use: "listd", Short: "The list of app servers, replicated", SilenceUsage: true}
	root.AddCommand(serveCmd())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func serveCmd() *cobra.Command {
	var id, dir string
	var peers []string
	var staleness time.Duration
	var keep int
	cmd := &cobra.Command{Use: "serve", Short: "Run one replica", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg := replica.Config{Dir: dir, Staleness: staleness, KeepRevs: keep}
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
	cmd.Flags().StringVar(&dir, "dir", "", "where raft's log, stable store and snapshots are kept")
	cmd.Flags().DurationVar(&staleness, "staleness", 2*time.Second, "the longest a follower answers reads without a leader's word")
	cmd.Flags().IntVar(&keep, "keep-revisions", 1000, "revisions a gone entry is kept before watches from before it get the whole list")
	return cmd
}
