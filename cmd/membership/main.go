// Command membership runs one member of the fleet's gossip as a process of its own, for the lab and the tests. It serves its
// view at /view (JSON) and its metrics at /metrics, and leaves the fleet at SIGTERM (docs/membership.md).
//
//	membership run --name m1 --bind 127.5.0.1:7946 --seed 127.5.0.2:7946 --http 127.5.0.1:9000
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"meadowsill/internal/membership"
)

func main() {
	root := &cobra.Command{Use: "membership", Short: "One member of the fleet's gossip", SilenceUsage: true}
	var cfg membership.Config
	var httpAddr string
	run := &cobra.Command{Use: "run", Args: cobra.NoArgs, Short: "Join and serve the view",
		RunE: func(*cobra.Command, []string) error {
			log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("member", cfg.Name)
			reg := prometheus.NewRegistry()
			cfg.Registry, cfg.Log = reg, log
			g, err := membership.Start(cfg)
			if err != nil {
				return err
			}
			ln, err := net.Listen("tcp", httpAddr)
			if err != nil {
				g.Close()
				return fmt.Errorf("--http: %w", err)
			}
			mux := http.NewServeMux()
			mux.HandleFunc("GET /view", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				json.NewEncoder(w).Encode(g.View())
			})
			mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
			srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
			go srv.Serve(ln)
			log.Info("serving", "bind", cfg.Bind, "http", ln.Addr().String())
			sig := make(chan os.Signal, 1)
			signal.Notify(sig, syscall.SIGTERM, os.Interrupt)
			<-sig
			log.Info("leaving")
			err = g.Leave(2 * time.Second)
			srv.Close()
			return err
		}}
	run.Flags().StringVar(&cfg.Name, "name", "", "this member's name, unique in the fleet")
	run.Flags().StringVar(&cfg.Bind, "bind", "", "loopback host:port for gossip, TCP and UDP")
	run.Flags().StringVar(&cfg.Advertise, "advertise", "", "the loopback host:port others reach it at, as through a relay; default: --bind")
	run.Flags().StringVar(&cfg.Zone, "zone", "", "this member's zone")
	run.Flags().StringArrayVar(&cfg.Seeds, "seed", nil, "a member to join through; once for each")
	run.Flags().DurationVar(&cfg.Stable, "stable", 2*time.Second, "how long a size holds before it is agreed")
	run.Flags().DurationVar(&cfg.Hold, "hold", 10*time.Second, "how long a fall below the agreed size is divided by the agreed size")
	run.Flags().StringVar(&httpAddr, "http", "127.0.0.1:0", "where /view and /metrics are served")
	root.AddCommand(run)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
