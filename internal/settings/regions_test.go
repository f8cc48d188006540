package settings

import (
	"reflect"
	"testing"
)

func TestOtherRegions(t *testing.T) {
	for _, c := range []struct {
		name, others string
		want         []Region
		good         bool
	}{
		{"off", "", nil, true},
		{"off", "nonsense", nil, false},
		{"off", "south 10.1.0.1:8081", nil, true},
		{"north", "south 10.1.0.1:8081 10.1.0.2:8081; west 10.2.0.1:8081",
			[]Region{{"south", []string{"10.1.0.1:8081", "10.1.0.2:8081"}}, {"west", []string{"10.2.0.1:8081"}}}, true},
		{"north", "", nil, false},
		{"north", "south", nil, false},
		{"north", "south somewhere", nil, false},
		{"north", "north 10.1.0.1:8081", nil, false},
		{"north", "south 10.1.0.1:8081; south 10.1.0.2:8081", nil, false},
		{"North", "south 10.1.0.1:8081", nil, false},
	} {
		o := &Operator{}
		o.Regions.Name, o.Regions.Others = c.name, c.others
		got, err := o.OtherRegions()
		if (err == nil) != c.good || c.good && !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s, %q: %v, %v", c.name, c.others, got, err)
		}
	}
}
