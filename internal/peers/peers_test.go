package peers

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// Messages as the version in production wrote them are read to the last field,
// and what that version does not say means that it reads only the first form of
// stored records. Made by marshalling that version's own messages.
func TestProductionMessages(t *testing.T) {
	read := func(name string, m proto.Message) {
		b, err := os.ReadFile("testdata/" + name)
		if err == nil {
			err = proto.Unmarshal(b, m)
		}
		if err != nil {
			t.Fatal(err)
		}
		if len(m.ProtoReflect().GetUnknown()) > 0 {
			t.Errorf("%s: fields got lost", name)
		}
	}
	var request peerspb.RoundRequest
	read("request.pb", &request)
	if o := request.Orders[0]; request.Token != 41 || request.GrantUntilNs != 5e9 || o.Op != peerspb.Op_OP_START || o.Attempt != 9 ||
		request.Owners[0].Member != "berth-1" {
		t.Errorf("request: %v", &request)
	}
	var response peerspb.RoundResponse
	read("response.pb", &response)
	if m := response.Machines[0]; response.ClockNs != 6e9 || m.NoticeMs != -1 || m.Tasks[0].State != "running" || response.Records != 0 {
		t.Errorf("response: %v", &response)
	}
}
