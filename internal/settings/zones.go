package settings

import "fmt"

// Zones holds what traffic between zones costs.
type Zones struct {
	// Price is by how many seconds a first piece has to be earlier for a megabyte sent to another
	// zone and back; 0 means that bytes cost nothing.
	Price float64 `yaml:"price"`
}

// maxZonePrice keeps requests in their zone whatever they gain.
const maxZonePrice = 1e6

func (c *checker) zones(z Zones) {
	if !(z.Price >= 0 && z.Price <= maxZonePrice) { // also rejects NaN
		c.reject("zones.price", fmt.Sprint(z.Price), "a number from 0 to 1000000")
	}
}
