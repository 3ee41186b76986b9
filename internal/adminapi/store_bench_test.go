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

// The size of the table that the fleet is planned for.
const (
	targetServices = 1500
	targetRows     = 12000
)

func targetParts() adminapi.Operations {
	var parts adminapi.Operations
	for id := 1; id <= targetServices; id++ {
		parts.AddServices = append(parts.AddServices, table.Service{
			ID: table.ServiceID(id), Name: fmt.Sprintf("service-%d", id), Protocol: table.ProtocolTCP,
			Address: table.Endpoint(fmt.Sprintf("198.18.%d.%d:80", id/200, id%200)), Owner: fmt.Sprintf("team-%d", id%50),
		})
	}
	for id := 1; id <= targetRows; id++ {
		parts.AddBackends = append(parts.AddBackends, table.Backend{
			ID: table.BackendID(id), Service: table.ServiceID(id%targetServices + 1), Name: fmt.Sprintf("row-%d", id),
			Incarnation: 1, Agent: table.Endpoint(fmt.Sprintf("10.0.%d.%d:6081", id/200, id%200)), Weight: 5,
		})
	}
	return parts
}

func targetStore(b *testing.B) *adminapi.LogStore {
	store := adminapi.NewSingleReplicaStore(changelog.DefaultLimits(), adminapi.NewSingleMember("b", "z"), nil)
	parts := targetParts()
	submitted := store.Submit(context.Background(), &changelog.Change{
		ID: "setup", AddServices: parts.AddServices, AddBackends: parts.AddBackends,
	})
	if !submitted.Outcome.Accepted {
		b.Fatal("setup was not accepted", submitted)
	}
	return store
}

func oneCell(number int) *changelog.Change {
	weight := uint32(number % table.MaxWeight)
	return &changelog.Change{
		ID: changelog.ChangeID(fmt.Sprint("change-", number)), BaseVersion: 1,
		Cells: []changelog.CellUpdate{{Backend: table.BackendID(number%targetRows + 1), Weight: &weight}},
	}
}

// BenchmarkSubmit measures one changed cell in a table of the target size.
func BenchmarkSubmit(b *testing.B) {
	store := targetStore(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		change := oneCell(number)
		change.BaseVersion = store.Table().Table.Version
		if submitted := store.Submit(context.Background(), change); !submitted.Decided {
			b.Fatal(submitted)
		}
	}
}

// BenchmarkPreview measures a dry run in a table of the target size.
func BenchmarkPreview(b *testing.B) {
	store := targetStore(b)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		if _, err := store.Preview(oneCell(number)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkView measures one team's part of a table of the target size.
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
