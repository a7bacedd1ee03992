package bounds

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Machine describes the resources of the machine that a run executes on.
type Machine struct {
	Cores       int    `json:"cores"`
	MemoryBytes uint64 `json:"memory_bytes"`
	Descriptors uint64 `json:"descriptors"` // largest number that a process may open
}

// ReadMachine reads the number of cores, the memory size and the descriptor limit of this machine.
func ReadMachine() (Machine, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Machine{}, err
	}
	total, ok := procField(string(raw), "MemTotal:")
	if !ok {
		return Machine{}, fmt.Errorf("/proc/meminfo has no MemTotal")
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Machine{}, err
	}
	return Machine{Cores: runtime.NumCPU(), MemoryBytes: total, Descriptors: limit.Cur}, nil
}

// procField finds a line "Name:  N kB" in text and returns N in bytes. The result is false if the line is missing or malformed.
func procField(text, name string) (uint64, bool) {
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		kib, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		return kib << 10, err == nil
	}
	return 0, false
}

// ResidentBytes returns the resident memory of a process, or 0 if there is no such process.
func ResidentBytes(pid int) uint64 {
	raw, _ := os.ReadFile(procPath(pid, "status"))
	n, _ := procField(string(raw), "VmRSS:")
	return n
}

// openDescriptors returns the number of open descriptors of a process, or 0 if there is no such process.
func openDescriptors(pid int) int {
	names, _ := os.ReadDir(procPath(pid, "fd"))
	return len(names)
}

// WrittenBytes returns the number of bytes that a process has caused to be written to disk so far.
func WrittenBytes(pid int) uint64 {
	raw, _ := os.ReadFile(procPath(pid, "io"))
	for line := range bytes.Lines(raw) {
		if rest, ok := bytes.CutPrefix(line, []byte("write_bytes:")); ok {
			n, _ := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
			return n
		}
	}
	return 0
}

// MachineLoad returns the machine's load average of the last minute.
func MachineLoad() float64 {
	raw, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(raw), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// ephemeralPorts returns the number of local ports that the machine has for connections to one address.
func ephemeralPorts() int {
	raw, _ := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	var low, high int
	if _, err := fmt.Sscan(string(raw), &low, &high); err != nil || high < low {
		return defaultEphemeralPorts
	}
	return high - low + 1
}

// defaultEphemeralPorts is the size of Linux's default port range. It applies where the machine's range can't be read.
const defaultEphemeralPorts = 28_232

// DirectoryBytes returns the size of a file, or the total size of all regular files under a directory.
func DirectoryBytes(path string) uint64 {
	var sum uint64
	filepath.Walk(path, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			sum += uint64(info.Size())
		}
		return nil
	})
	return sum
}

func procPath(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }
