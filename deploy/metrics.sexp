;; Switches the page of metrics on: marlwood serve --config FILE.json --settings
;; deploy/metrics.sexp. Read http://HOST:9400/metrics; see docs/operators/scale.md.
(marlwood
  (metrics
    (listen ":9400")))
