package lookup_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

func TestLookup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lookup")
}

// exampleTable returns a valid table with the given number of services, each with the
// given number of rows of equal weight.
func exampleTable(services, rows int) *table.Table {
	built := &table.Table{Version: 1}
	for service := range services {
		id := table.ServiceID(service + 1)
		built.Services = append(built.Services, table.Service{
			ID:       id,
			Name:     fmt.Sprint("service-", id),
			Address:  table.Endpoint(fmt.Sprintf("198.51.%d.%d:443", service/250, service%250+1)),
			Protocol: table.ProtocolTCP,
		})
		for row := range rows {
			number := service*rows + row
			built.Backends = append(built.Backends, table.Backend{
				ID:          table.BackendID(number + 1),
				Service:     id,
				Name:        fmt.Sprint("row-", row),
				Incarnation: 1,
				Agent:       table.Endpoint(fmt.Sprintf("10.%d.%d.%d:6081", number/62500, number/250%250, number%250+1)),
				Weight:      100,
			})
		}
	}
	return built
}
