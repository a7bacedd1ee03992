package control

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/zones"
)

// Bounds of the settings.
const (
	maxSlots = session.MaxRememberedNames
	minTTLMS = 1000
	maxTTLMS = 60_000
)

// settingsFile is the settings file as docs/fleet.md describes it.
type settingsFile struct {
	Slots   int                 `toml:"slots"`
	TTLMS   *int64              `toml:"ttl_ms"`
	Regions map[string][]string `toml:"regions"`
	Cold    struct {
		From   *float64 `toml:"from"`
		TimeMS *float64 `toml:"time_ms"`
	} `toml:"cold"`
}

// ParseSettings parses the contents of the settings file. The error of an invalid file names the field or the line; an unknown key
// is an error.
func ParseSettings(data string) (Settings, error) {
	invalid := func(field, format string, args ...any) (Settings, error) {
		return Settings{}, fmt.Errorf("%w: %s: %s", fleet.ErrInvalid, field, fmt.Sprintf(format, args...))
	}
	var f settingsFile
	meta, err := toml.Decode(data, &f)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", fleet.ErrInvalid, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return invalid(unknown[0].String(), "unknown key")
	}
	if f.Slots < 1 || f.Slots > maxSlots {
		return invalid("slots", "%d, must be 1 to %d", f.Slots, maxSlots)
	}
	set := Settings{Slots: f.Slots, TTL: 6 * time.Second, Zones: zones.Default(f.Slots)}
	if f.TTLMS != nil {
		if *f.TTLMS < minTTLMS || *f.TTLMS > maxTTLMS {
			return invalid("ttl_ms", "%d, must be %d to %d", *f.TTLMS, minTTLMS, maxTTLMS)
		}
		set.TTL = time.Duration(*f.TTLMS) * time.Millisecond
	}
	set.Zones.Region = map[string]string{}
	for region, zoneNames := range f.Regions {
		for _, z := range zoneNames {
			if otherRegion, ok := set.Zones.Region[z]; ok {
				return invalid("regions."+region, "zone %q is in %s already", z, otherRegion)
			}
			if z == "" || len(z) > session.MaxNameBytes || strings.Contains(z, "@") {
				return invalid("regions."+region, "%q is no zone's name", z)
			}
			set.Zones.Region[z] = region
		}
	}
	if c := f.Cold.From; c != nil {
		set.Zones.SlowStartMinCapacity = *c
	}
	if c := f.Cold.TimeMS; c != nil {
		if !(*c >= 0 && *c <= math.MaxInt32) {
			return invalid("cold.time_ms", "%g, must be 0 to %d", *c, math.MaxInt32)
		}
		set.Zones.SlowStartWindow = time.Duration(*c * float64(time.Millisecond))
	}
	if err := set.Zones.Check(); err != nil {
		return Settings{}, err
	}
	return set, nil
}
