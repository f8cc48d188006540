package sockets

import "testing"

func TestDivide(t *testing.T) {
	for _, test := range []struct {
		name  string
		quota int
		share float64
		want  Limits
	}{
		{name: "a large quota", quota: 3207, share: 0.85, want: Limits{Listener: 2725, Workers: 1907, DirectCalls: 200}},
		{name: "a small quota", quota: 900, share: 0.85, want: Limits{Listener: 765, Workers: 535, DirectCalls: 56}},
		{name: "the whole quota for the listener: the other uses keep their sockets", quota: 900, share: 1, want: Limits{Listener: 780, Workers: 546, DirectCalls: 56}},
		{name: "the minimum limits", quota: 50, share: 0.85, want: Limits{Listener: 8, Workers: 5, DirectCalls: 8}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Divide(test.quota, test.share); got != test.want {
				t.Errorf("Divide(%d, %g) = %+v, want %+v", test.quota, test.share, got, test.want)
			}
		})
	}
}

// Opens and closes connections of all duties and checks at each step which may stay open.
func TestBudget(t *testing.T) {
	budget := New(Limits{Listener: 10, Workers: 4})
	open := func(duty Duty) (full bool) {
		full = budget.Accepted()
		budget.ChangeDuty(UnknownDuty, duty)
		return full
	}
	for range 4 {
		if open(Workers) {
			t.Fatal("reported as full below the limit")
		}
	}
	if !budget.Keep(Workers) {
		t.Error("a worker's connection is closed although four are within the limit")
	}
	open(Workers)
	if budget.Keep(Workers) {
		t.Error("a fifth worker's connection is kept")
	}
	for range 4 {
		open(Users)
	}
	if !budget.Keep(Users) || !budget.Keep(Health) {
		t.Error("users' connections are closed although only nine of ten sockets are taken")
	}
	open(Health)
	if budget.Keep(Users) || !budget.Keep(Health) {
		t.Error("with all sockets taken, a user's connection is kept or a health check's is closed")
	}
	if !open(Users) {
		t.Error("the eleventh connection is not reported as exceeding the limit")
	}
	budget.Closed(Workers)
	budget.Closed(Workers)
	if budget.accepted() != 9 || !budget.Keep(Workers) {
		t.Errorf("after two workers' connections closed, %d are open; want 9, with workers' connections kept", budget.accepted())
	}
	checkUse(t, budget.Use())
}

// checkUse checks the counts at the end of TestBudget.
func checkUse(t *testing.T, use Use) {
	t.Helper()
	if use.Open[Workers] != 3 || use.Peak[Workers] != 5 || use.Open[Users] != 5 || use.Closed != 2 {
		t.Errorf("use: %+v", use)
	}
}
