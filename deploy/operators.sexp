;; Switches the interface to operators on: marlwood serve --config FILE.json --settings
;; deploy/operators.sexp. Make the files with marlwood keys; each controller has a
;; certificate of its own under the same name. See docs/operators/toolbox.md.
(marlwood
  (operators
    (listen ":7400")
    (ca "/etc/marlwood/ca.pem")
    (cert "/etc/marlwood/node.pem")
    (key "/etc/marlwood/node-key.pem")))
