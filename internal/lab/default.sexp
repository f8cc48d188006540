;; What marlwood lab plays: machine types, teams and a stream of users' jobs. Copy it,
;; change it, and give it with --scenario. Times go faster by --speed.
(lab
  (zones "lambrate" "bovisa" "centrale")
  (type "s8" (cpus 8) (memory-gb 32) (price 1.0) (spot-price 0.4) (boot "4s") (fetch-gb-per-s 1) (limit 12))
  (type "s16" (cpus 16) (memory-gb 64) (price 2.1) (spot-price 0.9) (boot "6s") (fetch-gb-per-s 1) (limit 6))
  (team "grafo" (guarantee 16) (limit 64))
  (team "percorsi" (guarantee 32))
  (team "clienti" (limit 24))
  (job "tiles" (every "3s") (team "percorsi") (shape "batch") (tasks 6) (cpus 2) (memory-gb 4) (takes "8s")
               (priority "low") (image "tiles-4") (image-gb 1) (saves "2s") (spot))
  (job "solve" (every "12s") (team "grafo") (shape "gang") (tasks 4) (cpus 4) (memory-gb 8) (takes "15s")
               (priority "high") (image "solver-2") (image-gb 2) (saves "3s") (one-zone))
  (job "reports" (every "5s") (team "clienti") (shape "batch") (tasks 3) (cpus 1) (memory-gb 2) (takes "4s")
                 (priority "normal") (image "reports-1") (image-gb 0.5))
  (job "board" (every "40s") (team "clienti") (shape "standing") (tasks 2) (cpus 1) (memory-gb 2) (takes "60s")
               (priority "critical") (image "board-1") (image-gb 0.5) (spread)))
