# A small fleet that one machine can play in real time: six relays of two cores in three zones.
# All that a plan rests on is told here, since the rig has to play it; a plan may be made from its captures alone.
name = "rig"

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

zone "reykjavik"  { relays = { small = 2 } }
zone "akureyri"   { relays = { small = 2 } }
zone "isafjordur" { relays = { small = 2 } }

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
  allowance_per_s = 130
}
customer "strandgaesla" {
  share           = 0.35
  allowance_per_s = 70
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
load    { per_s = 190 }
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
