// Package golden compares the output of tests with recorded golden files, so that bytes that are sent to other processes or stored
// don't change when a name in the code does. It is for use by tests only.
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

// Check compares got with the golden file name under the test's testdata/golden. With -update it writes got to the file first.
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
		t.Errorf("%s differs from its golden file: %s", name, firstDifference(got, want))
	}
}

// firstDifference describes the first line in which two texts differ. If one text is the start of the other, it gives their numbers of
// lines.
func firstDifference(got, want []byte) string {
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			return fmt.Sprintf("line %d:\n got %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	return fmt.Sprintf("%d lines, want %d", len(gotLines), len(wantLines))
}

// JSON fills a T with Fill, encodes it as JSON and compares the result with the golden file name.json. It also decodes that JSON
// into another T, which must be encoded to the same bytes again.
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

// Fill sets every exported field that can be reached from pointer to a value other than its zero value.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler counts the values that it sets. It derives numbers and strings from the count, so that those of different fields differ.
type filler struct{ count int }

// filledTime is the value of every time that Fill sets.
var filledTime = time.Date(2026, 12, 2, 23, 0, 0, 5, time.UTC)

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"filled":%d}`, f.count))
		return
	case time.Time:
		v.Set(reflect.ValueOf(filledTime))
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
