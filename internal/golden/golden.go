// Package golden holds tests to bytes that were recorded once: what is sent to other processes or stored must stay the same
// over changes of names in the code. It is for tests only.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "record the golden files anew")

// Check compares got with the file name below the test's testdata/golden. With -update it writes the file instead.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s has changed: %s", name, firstDifference(got, want))
	}
}

// firstDifference returns the first line in which two texts differ.
func firstDifference(got, want []byte) string {
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			return fmt.Sprintf("line %d:\n got %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	return fmt.Sprintf("%d lines, want %d", len(gotLines), len(wantLines))
}

// JSON fills a T, writes it as JSON and compares that with the file name.json. It also reads the file into another T, which
// has to be written again to the same bytes.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	var filled T
	Fill(&filled)
	written := marshal(t, filled)
	Check(t, name+".json", written)
	var read T
	if err := json.Unmarshal(written, &read); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if again := marshal(t, read); !bytes.Equal(again, written) {
		t.Errorf("%s, read and written again:\n got %s\nwant %s", name, again, written)
	}
}

func marshal(t *testing.T, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Fill sets every exported field that pointer leads to, each to another value than its zero.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler counts the values that it has set, so that each differs from the others.
type filler struct{ count int }

// recordedTime is the time that times are set to.
var recordedTime = time.Date(2026, 12, 2, 23, 0, 0, 5, time.UTC)

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"filled":%d}`, f.count))
		return
	case time.Time:
		v.Set(reflect.ValueOf(recordedTime))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", f.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for _, field := range v.Fields() {
			if field.CanSet() {
				f.fill(field)
			}
		}
	}
}
