package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
)

// Recordings and stored values contain the fields of these types under their Go names or
// tags. A renamed field without a tag would make earlier recordings unreadable, and new
// ones unreadable for earlier versions. The bytes in testdata were written before any field
// was renamed; the encoding must still produce them.
func TestEncodingMatchesStoredBytes(t *testing.T) {
	var state snapshot
	fillValue(reflect.ValueOf(&state).Elem(), "state", 0)
	stateBytes, err := encMode.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var config Config
	fillValue(reflect.ValueOf(&config).Elem(), "config", 0)
	var types map[string]model.MachineType
	fillValue(reflect.ValueOf(&types).Elem(), "types", 0)
	var rows []accounting.Row
	fillValue(reflect.ValueOf(&rows).Elem(), "rows", 0)
	rowBytes, err := encMode.Marshal(rows)
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string][]byte{
		"state.cbor":  stateBytes,
		"config.json": sortedJSON(t, config),
		"types.json":  sortedJSON(t, types),
		"rows.cbor":   rowBytes,
	} {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "encoded", name))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encoding has %d bytes, stored encoding has %d: a field was renamed without a tag, added or removed", len(got), len(want))
			}
		})
	}
	var read snapshot
	if err := decMode.Unmarshal(stateBytes, &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, state) {
		t.Error("decoded state differs from the encoded one")
	}
}

// sortedJSON encodes a value with sorted keys, because readers ignore the order of fields.
func sortedJSON(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var plain any
	if err := json.Unmarshal(text, &plain); err != nil {
		t.Fatal(err)
	}
	if text, err = json.Marshal(plain); err != nil {
		t.Fatal(err)
	}
	return text
}

// maxDepth limits the depth to which recursive types are filled.
const maxDepth = 12

// fillValue sets all exported fields to values that depend only on their encoded names.
func fillValue(v reflect.Value, path string, depth int) {
	if depth > maxDepth {
		return
	}
	number := pathNumber(path)
	if fillEncodedAsScalar(v, number) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillValue(v.Index(0), path+"[]", depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fillValue(v.Index(i), fmt.Sprint(path, i), depth+1)
		}
	case reflect.Map:
		fillMap(v, path, depth)
	case reflect.Struct:
		fillStruct(v, path, depth)
	default:
		fillScalar(v, number)
	}
}

// pathNumber returns a number from 1 to 1000 that depends only on the path.
func pathNumber(path string) int64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(path))
	return int64(hash.Sum32()%1000) + 1
}

// fillEncodedAsScalar sets v if its type is encoded as a single value regardless of its
// kind, and reports whether it is of such a type.
func fillEncodedAsScalar(v reflect.Value, number int64) bool {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(number, number).UTC()))
	case time.Duration:
		v.SetInt(number * int64(time.Millisecond))
	case json.RawMessage:
		v.SetBytes([]byte(fmt.Sprint(number)))
	default:
		return false
	}
	return true
}

func fillScalar(v reflect.Value, number int64) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(number % 100)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) / 8)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", number))
	}
}

func fillMap(v reflect.Value, path string, depth int) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	fillValue(key, path+"{key}", depth+1)
	fillValue(value, path+"{}", depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func fillStruct(v reflect.Value, path string, depth int) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if name := encodedName(field); field.IsExported() && name != "-" {
			fillValue(v.Field(i), path+"."+name, depth+1)
		}
	}
}

// encodedName returns the name under which a field is stored.
func encodedName(field reflect.StructField) string {
	for _, key := range []string{"cbor", "json"} {
		if name, _, _ := strings.Cut(field.Tag.Get(key), ","); name != "" {
			return name
		}
	}
	return field.Name
}
