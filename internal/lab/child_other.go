//go:build !linux

package lab

import "syscall"

// ChildAttr keeps the terminal's Ctrl-C from a controller: the lab ends it in order.
func ChildAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
