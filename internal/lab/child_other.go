//go:build !linux

package lab

import "syscall"

// ChildAttr returns the attributes of a child process. The child doesn't receive the terminal's Ctrl-C, because the
// lab shuts it down in order.
func ChildAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
