# What `vetchrill try` runs where it is given no fleet: three relays of two cores.
name = "try"

kind "small" {
  cores       = 2
  reading_ms  = 12
  crowd_from  = 2
  crowd_loss  = 0.1
  memory_mb   = 4
  cold_share  = 0.4
  warm_up_ms  = 4000
  price       = 1
}

zone "reykjavik"  { relays = { small = 1 } }
zone "akureyri"   { relays = { small = 1 } }
zone "isafjordur" { relays = { small = 1 } }

group "level-read" {
  effect     = "repeatable"
  slo_ms     = 400
  timeout_ms = 1000
  benefit    = 1
  late_share = 0.2
  share      = 0.68
  work_ms    = 40
  work_cv    = 0.7
  memory_kb  = 24
  body_bytes = 200
}
group "series-put" {
  effect     = "repeatable"
  slo_ms     = 650
  timeout_ms = 1600
  benefit    = 1
  share      = 0.18
  work_ms    = 70
  work_cv    = 0.6
  memory_kb  = 24
  body_bytes = 200
}
group "field-log" {
  effect     = "mutating"
  slo_ms     = 650
  timeout_ms = 1600
  benefit    = 3
  late_share = 0.2
  share      = 0.14
  work_ms    = 70
  work_cv    = 0.6
  memory_kb  = 24
  body_bytes = 200
}

customer "flaedivakt" {
  share           = 0.65
  allowance_per_s = 65
}
customer "strandgaesla" {
  share           = 0.35
  allowance_per_s = 35
}

stubs "round" {
  count = 3
  habit = "round"
  retry = "limited"
  tries = 3
  heed  = 1
}
stubs "subject" {
  count = 1
  habit = "subject"
  retry = "limited"
  tries = 3
  heed  = 0
}

subjects {
  distinct = 4000
  skew     = 0.7
}
load    { per_s = 95 }
network {
  within_ms = 0.3
  across_ms = 2
}
roster {
  lag_ms    = 700
  silent_ms = 2500
}
rules {
  grace_ms        = 1000
  stop_ms         = 2500
  crowd_per_core  = 8
  longest_away_ms = 500
  beyond_share    = 1
}
deploy {
  batch    = 0.17
  start_ms = 1200
  gap_ms   = 500
}
