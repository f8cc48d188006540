;; Operators' settings and their defaults. A file given with --settings has
;; the same form and needs only what it changes. Durations are strings such
;; as "1.5s"; all else is a number, or one of a few words.
(marlwood
  (leadership
    (hold "5s")           ; the leader key goes away this long after the last touch
    (poll "1s")           ; how often every node looks at the leader key
    (grant "3s")          ; how long an owner may answer workers after hearing from the leader
    (margin "2s"))        ; held back for clock drift and slow timers
  (placement
    (draws 2)             ; machines drawn per fitting kind for each task
    (round "150ms")       ; least time between two rounds that place tasks
    (heartbeat "400ms")   ; longest time between two rounds
    (scan-after 2)        ; empty rounds after which a job scans its kinds
    (tasks-per-round 64)  ; most tasks drawn for in one round; in a large cluster a sixteenth of the number of machines, if that is more
    (preempt-wait "300ms"); how long a job waits without room before it preempts
    (short-first 10)      ; a job without a deadline gives way by this many times the time it keeps its team's limit busy
    (report-wait "2s")    ; how long a worker's report waits for a grant; workers give up after 4 s
    (begin-within "4m")   ; of its submission each job is to begin; jobs near that come to the front of the queue; "1000h": none does
    (replicas-apart "60s"); how much longer a replica may take to be up rather than share a machine with one of its job
    (claims "yes")        ; "no": gangs are ordered without a stored claim; see docs/operators/claims.md
    (unhurried "15m")     ; how long only spot machines are rented for an array of long tasks of which nothing is asked
    (owner-back "60s")    ; how long a controller must be back before it is given kinds again
    (standing 1)          ; room for classes that must start sooner than a machine boots: a multiple of what arrives meanwhile
    (spare 0.1))          ; share of the machines in use that is kept free
  (fleet
    (tick "1s")           ; how often it is looked at what to rent and to return
    (idle "10s")          ; a machine without tasks is returned after this
    (keep "30s")          ; but not sooner after its first report: a minute is charged anyway
    (horizon "45s")       ; machines are rented so that waiting arrays end their turns within this, or half of the time they have if that is longer
    (refused-wait "60s")  ; pause before more of a kind is asked for than it is known to have
    (list-every "4s")     ; how often the cloud is asked for its list of machines
    (boot-factor 4)       ; a machine is given up after this many times its usual boot time
    (silent-wait "20s")   ; an expired machine is returned after this
    (errors 3)            ; failures of tasks that make a machine suspect, unless the job is to blame
    (host-groups "yes"))  ; "no": one record a machine, before going back to a version older than 0.4
  (service
    (memory-share 0.6)    ; soft limit of the Go heap, as a share of the quota
    (heap-growth 400)     ; percent by which the heap grows between collections, below that limit
    (user-conns-share 0.85); connections of users and workers, as a share of the quota of sockets
    (call "2s")           ; deadline of calls to the state service
    (cloud-call "5s")     ; deadline of calls to the cloud
    (peer-call "1s")      ; deadline of calls between controllers
    (direct-call "1500ms"); deadline of direct calls to workers
    (glance "100ms")      ; least time between two looks at the changes of jobs, for users' questions
    (ask-wait "1500ms")   ; how long a question waits for such a look
    (final-cache 2000))   ; finished jobs whose state is kept in memory
  (operators              ; the interface to operators; see docs/operators/toolbox.md
    (listen "off")        ; address and port; ":7400" is that port on the host that siblings reach this controller at
    (ca "")               ; PEM files made by marlwood keys: the authority's certificate,
    (cert "")             ; this controller's
    (key "")              ; and its key
    (plaintext "no"))     ; "yes": without certificates, on a loopback address only
  (metrics                ; a page of text at /metrics; see docs/operators/scale.md
    (listen "off"))       ; address and port; ":9400" is that port on the host that siblings reach this controller at
  (accounts               ; what teams have used; see docs/operators/shares.md
    (keep "no")           ; "yes": it is counted and stored
    (flush "10s")         ; how often it is written
    (ties "age"))         ; "share": of jobs alike in priority and guarantee those of the team come first that had least of its share lately
  (record
    (lines "off"))        ; "stderr": what a leader takes in and decides is written there as lines
  (regions                ; teams' limits hold over several regions, each a deployment of its own; see docs/operators/regions.md
    (name "off")          ; this region's name
    (others "")))         ; the other regions and their controllers: "south 10.1.0.1:8081 10.1.0.2:8081; west 10.2.0.1:8081"
