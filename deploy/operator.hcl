# What an operator may switch on beside what the platform hands over; off on the platform, which has no lasting disk.
#   bin/vetchrill serve --operator deploy/operator.hcl

capture {
  on          = true
  directory   = "captures"         # a file for each start of an instance
  zone        = "reykjavik"        # where this instance stands, by the names of the fleet file
  kind        = "small"            # and what machine it is
  # 32 hexadecimal digits, the same on all relays and kept secret: subjects are recorded as their keyed hash only.
  subject_key = "00112233445566778899aabbccddeeff"
  ring_rows   = 8192               # exchanges that may wait for the writer; past them they are counted and left out
  flush_ms    = 500                # what is recorded is in the file so long after at most
  most_mb     = 256                # the file grows no further
}

peers {
  on     = false
  listen = "10.0.0.4:7565"         # the only address on which other instances are heard
  zone   = "reykjavik"
  # The same on all instances. An answer is waited for so long; all that is held is exchanged that often.
  period_ms = 500
  answer_ms = 150
  sync_ms   = 10000
  peer "r2" { address = "10.0.0.5:7565" }
  peer "r3" { address = "10.0.1.4:7565" }
  peer "r4" { address = "10.0.2.4:7565" }
}

# What versions are agreed on, and who may go on without hearing of others; needs peers. See docs/fleet-operators.md.
versions {
  on        = false
  directory = "state"              # what must not be forgotten: a disk that lasts, of this instance alone
  store_mb  = 64                   # of that disk, at most; what was damaged and put aside for staff comes on top
  keepers   = ["r2", "r3", "r4"]   # 1, 3, 5 or 7 instances, the same in every file; more than half must be heard
  lease_ms  = 3000                 # so long an instance goes on without them; the same in every file
  every_ms  = 500
  behind_ms = 30000                # then a straggler is told of
  alone     = "deny"               # or "serve": one that hears no keepers goes on, and a floor does not hold for it
}

# Who decided what, by which version.
audit {
  on         = false
  directory  = "audit"
  ring_rows  = 8192                # rows that may wait for the writer; past them they are counted and left out
  flush_ms   = 50                  # so much, and one write, a crash loses
  segment_mb = 16
  most_mb    = 1024                # the oldest files are given up past it
}
