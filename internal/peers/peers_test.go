package peers

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// readRecorded decodes a recorded message of the version in production and fails the test if
// it has unknown fields.
func readRecorded(t *testing.T, name string, message proto.Message) {
	t.Helper()
	encoded, err := os.ReadFile("testdata/" + name)
	if err == nil {
		err = proto.Unmarshal(encoded, message)
	}
	if err != nil {
		t.Fatal(err)
	}
	if len(message.ProtoReflect().GetUnknown()) > 0 {
		t.Errorf("%s: the decoded message has unknown fields", name)
	}
}

// Messages of the version in production are decoded without unknown fields. That version
// does not set the format of stored records that it reads, which means the first format.
// The recorded messages were made by marshalling that version's own messages.
func TestDecodeProductionMessages(t *testing.T) {
	var request peerspb.RoundRequest
	readRecorded(t, "request.pb", &request)
	order := request.Orders[0]
	if request.Token != 41 || request.GrantUntilNs != 5e9 || request.Owners[0].Member != "berth-1" {
		t.Errorf("request: %v", &request)
	}
	if order.Op != peerspb.Op_OP_START || order.Attempt != 9 {
		t.Errorf("order: %v", order)
	}
	var response peerspb.RoundResponse
	readRecorded(t, "response.pb", &response)
	machine := response.Machines[0]
	if response.ClockNs != 6e9 || response.Records != 0 {
		t.Errorf("response: %v", &response)
	}
	if machine.NoticeMs != -1 || machine.Tasks[0].State != "running" {
		t.Errorf("machine: %v", machine)
	}
}
