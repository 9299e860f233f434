# A play for `bin/vetchrill audit play --script examples/audit.hcl`: a release in the middle of a floor, with a keeper gone.
processes = 5
keepers   = 3
lasts_s   = 9

publish "1" {
  at_s = 0.2
  on   = "r0"
}
trouble "the second machine loses its disk" {
  kind   = "kill"
  of     = ["r1"]
  from_s = 1
  to_s   = 3
  disk   = "lost"
}
trouble "the last two are cut off" {
  kind   = "part"
  of     = ["r3", "r4"]
  from_s = 0.8
  to_s   = 5
}
trouble "a clock an hour ahead" {
  kind   = "clock"
  of     = ["r2"]
  from_s = 0.5
  to_s   = 6
  by_ms  = 3600000
}
publish "2" {
  at_s = 1.5
  on   = "r2"
}
floor "2" {
  at_s = 2
  on   = "r0"
}
publish "3" {
  at_s = 4
  on   = "r0"
}
