package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/operators"
)

type keysCmd struct {
	CA       keysCACmd       `cmd:"" help:"Make the certificate authority."`
	Node     keysNodeCmd     `cmd:"" help:"Make a controller's certificate."`
	Operator keysOperatorCmd `cmd:"" help:"Make the certificate of somebody who may change things."`
	Viewer   keysViewerCmd   `cmd:"" help:"Make the certificate of somebody who may only ask."`
}

type keysDir struct {
	Dir string `default:"keys" type:"path" placeholder:"DIR" help:"Where the authority is, and what is made goes."`
}

type keysValidity struct {
	keysDir `embed:""`
	Lasts   time.Duration `default:"8760h" placeholder:"SPAN" help:"How long it is valid; a year by default."`
}

type keysCACmd struct {
	keysDir `embed:""`
	Lasts   time.Duration `default:"87600h" placeholder:"SPAN" help:"How long it is valid; ten years by default."`
	Name    string        `default:"marlwood operators" help:"Its name."`
}

// Run makes a certificate authority.
func (c *keysCACmd) Run() error {
	if err := keyError(operators.MakeCA(c.Dir, c.Name, c.Lasts)); err != nil {
		return err
	}
	fmt.Printf("%s goes to every controller and operator; %s stays here\n", filepath.Join(c.Dir, "ca.pem"), filepath.Join(c.Dir, "ca-key.pem"))
	return nil
}

type keysNodeCmd struct {
	keysValidity `embed:""`
	Name         string   `arg:"" help:"The controller's name."`
	Hosts        []string `placeholder:"HOST" help:"Its addresses and host names."`
}

// Run makes a controller's certificate.
func (c *keysNodeCmd) Run() error { return c.makeCertificate(c.Name, operators.NodeRole, c.Hosts) }

type keysOperatorCmd struct {
	keysValidity `embed:""`
	Name         string `arg:"" help:"Who it is for; changes are logged under this name."`
}

// Run makes an operator's certificate.
func (c *keysOperatorCmd) Run() error { return c.makeCertificate(c.Name, operators.Operator, nil) }

type keysViewerCmd struct {
	keysValidity `embed:""`
	Name         string `arg:"" help:"Who it is for."`
}

// Run makes a viewer's certificate.
func (c *keysViewerCmd) Run() error { return c.makeCertificate(c.Name, operators.Viewer, nil) }

func (c *keysValidity) makeCertificate(name, role string, hosts []string) error {
	if !model.ValidID(name) || name == "ca" {
		return usageError{fmt.Errorf("name: %q cannot be one: letters, digits, - _ and . only, and not ca", name)}
	}
	if err := keyError(operators.MakeCertificate(c.Dir, name, role, hosts, c.Lasts)); err != nil {
		return err
	}
	fmt.Printf("%s and %s, role %s, valid for %v\n", filepath.Join(c.Dir, name+".pem"), filepath.Join(c.Dir, name+"-key.pem"), role, c.Lasts)
	return nil
}

// keyError returns err as a usageError if a file would be overwritten or a file or directory is missing.
func keyError(err error) error {
	if errors.Is(err, operators.ErrExists) {
		return usageError{err}
	}
	return missingInput(err)
}
