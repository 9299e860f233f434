# What service is wanted, for `vetchrill plan size FLEET examples/goals.hcl`.
goal "the 110% hour, any one zone lost" {
  service       = 0.95
  load          = 1.1
  any_zone_lost = true
}
goal "a calm hour" {
  service = 0.99
  load    = 0.6
}
