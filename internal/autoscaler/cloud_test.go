package autoscaler

import (
	"encoding/json"
	"testing"
)

// The request bodies match the cloud's API, including the names and the order of the fields.
func TestRequestBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		body any
		want string
	}{
		{"launch", launchBody{Name: "c-1-2", Type: "large", Spot: true, Count: 3, Zone: "a"},
			`{"charter":"c-1-2","hull":"large","loaners":true,"number":3,"yard":"a"}`},
		{"terminate", terminateBody{Machines: []string{"m1", "m2"}}, `{"berths":["m1","m2"]}`},
		{"terminate without machines", terminateBody{}, `{"berths":null}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
