package adminapi_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// The design size of the configuration table.
const (
	targetServices = 1500
	targetRows     = 12000
)

func targetOperations() adminapi.Operations {
	var operations adminapi.Operations
	for id := 1; id <= targetServices; id++ {
		operations.AddServices = append(operations.AddServices, table.Service{
			ID: table.ServiceID(id), Name: fmt.Sprintf("service-%d", id), Protocol: table.ProtocolTCP,
			Address: table.Endpoint(fmt.Sprintf("198.18.%d.%d:80", id/200, id%200)), Owner: fmt.Sprintf("team-%d", id%50),
		})
	}
	for id := 1; id <= targetRows; id++ {
		operations.AddBackends = append(operations.AddBackends, table.Backend{
			ID: table.BackendID(id), Service: table.ServiceID(id%targetServices + 1), Name: fmt.Sprintf("row-%d", id),
			Incarnation: 1, Agent: table.Endpoint(fmt.Sprintf("10.0.%d.%d:6081", id/200, id%200)), Weight: 5,
		})
	}
	return operations
}

func targetStore(b *testing.B) *adminapi.LogStore {
	store := adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), adminapi.NewSingleMember("b", "z"), nil)
	operations := targetOperations()
	submitted := store.Submit(context.Background(), &changelog.Change{
		ID: "setup", AddServices: operations.AddServices, AddBackends: operations.AddBackends,
	})
	if !submitted.Outcome.Accepted {
		b.Fatal("setup was not accepted", submitted)
	}
	return store
}

func weightChange(number int) *changelog.Change {
	weight := uint32(number % table.MaxWeight)
	return &changelog.Change{
		ID: changelog.ChangeID(fmt.Sprint("change-", number)), BaseVersion: 1,
		Cells: []changelog.CellUpdate{{Backend: table.BackendID(number%targetRows + 1), Weight: &weight}},
	}
}

// BenchmarkSubmit measures a change of one cell in a table of the design size.
func BenchmarkSubmit(b *testing.B) {
	store := targetStore(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		change := weightChange(number)
		change.BaseVersion = store.Table().Table.Version
		if submitted := store.Submit(context.Background(), change); !submitted.Decided {
			b.Fatal(submitted)
		}
	}
}

// BenchmarkPreview measures a dry run on a table of the design size.
func BenchmarkPreview(b *testing.B) {
	store := targetStore(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		if _, err := store.Preview(weightChange(number)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkView measures the extraction of one team's rows from a table of the
// design size.
func BenchmarkView(b *testing.B) {
	store := targetStore(b)
	principal := tenant.Principal{Role: tenant.RoleViewer, Team: "team-7"}
	b.ReportAllocs()
	for b.Loop() {
		if rows := len(principal.VisibleTable(store.Table().Table).Backends); rows != targetRows/50 {
			b.Fatal(rows)
		}
	}
}
