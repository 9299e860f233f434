# Three hundred relays in three zones, 1,600 exchanges a second: the size that is to come.
# Works and readings are told here, so that it can be planned without a capture.
name = "gauges at full size"

kind "small" {
  cores        = 2
  speed        = 1.0
  speed_cv     = 0.1
  reading_ms   = 60
  crowd_from   = 2.5
  crowd_loss   = 0.10
  memory_mb    = 3
  descriptors  = 1024
  cold_share   = 0.35
  warm_up_ms   = 10000
  price        = 1.0
}

zone "reykjavik"  { relays = { small = 100 } }
zone "akureyri"   { relays = { small = 100 } }
zone "isafjordur" { relays = { small = 100 } }

group "level-read" {
  effect     = "repeatable"
  slo_ms     = 1500
  timeout_ms = 3700
  benefit    = 1
  late_share = 0.2
  share      = 0.68
  work_ms    = 250
  work_cv    = 0.8
  memory_kb  = 24
}
group "series-put" {
  effect     = "repeatable"
  slo_ms     = 2500
  timeout_ms = 6000
  share      = 0.18
  work_ms    = 410
  work_cv    = 0.7
  memory_kb  = 24
}
group "field-log" {
  effect     = "mutating"
  slo_ms     = 2500
  timeout_ms = 6000
  benefit    = 3
  late_share = 0.2
  share      = 0.14
  work_ms    = 410
  work_cv    = 0.7
  memory_kb  = 24
}

customer "flaedivakt"   {
  share           = 0.5
  allowance_per_s = 800
}
customer "lindarmaeling" {
  share           = 0.35
  allowance_per_s = 560
}
customer "strandgaesla" {
  share           = 0.15
  allowance_per_s = 240
}

stubs "round" {
  count = 100
  habit = "round"
  retry = "unlimited"
  heed  = 0.9
}
stubs "subject" {
  count = 70
  habit = "subject"
  retry = "limited"
  tries = 12
  heed  = 0.9
}

subjects {
  distinct = 20000
  skew     = 0.8
}
load    { per_s = 1600 }
network { across_ms = 2 }
roster  {
  lag_ms    = 1700
  silent_ms = 4500
}
rules {
  grace_ms        = 2500
  stop_ms         = 8000
  crowd_per_core  = 8
  longest_away_ms = 1000
  beyond_share    = 0.1
}
deploy {
  batch    = 0.1
  start_ms = 1500
  gap_ms   = 1000
}
