;; What teams use is counted and stored; docs/operators/shares.md.
(marlwood
  (accounts (keep "yes")))
