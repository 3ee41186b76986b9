// This file implements the exchange of rows with spreadsheets as
// comma-separated values (RFC 4180).

package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// csvHeader is the first line of the exchange form. Services are written by
// name; the other columns are those of a back end.
// The last column is there only if a row has a zone.
var csvHeader = []string{"service", "id", "name", "incarnation", "agent", "weight", "connection_limit", "drain", "zone"}

// The positions of the columns of csvHeader.
const (
	csvService = iota
	csvID
	csvName
	csvIncarnation
	csvAgent
	csvWeight
	csvLimit
	csvDrain
	csvZone
)

// WriteCSV writes the rows of a table as comma-separated values with a header
// line, in order of their identifiers. Removed rows are left out.
func WriteCSV(output io.Writer, written *Table) error {
	writer := csv.NewWriter(output)
	columns := csvZone
	if slices.ContainsFunc(written.Backends, func(row Backend) bool { return row.Zone != "" }) {
		columns = len(csvHeader)
	}
	if err := writer.Write(csvHeader[:columns]); err != nil {
		return errors.Wrap(err, "CSV")
	}
	sorted := written.Clone()
	sorted.Sort()
	for _, row := range visible(sorted.Backends) {
		service, _ := written.Service(row.Service)
		if err := writer.Write(csvRecord(service.Name, row)[:columns]); err != nil {
			return errors.Wrap(err, "CSV")
		}
	}
	writer.Flush()
	return errors.Wrap(writer.Error(), "CSV")
}

func csvRecord(service string, row Backend) []string {
	return []string{
		csvService:     service,
		csvID:          numberText(uint32(row.ID)),
		csvName:        row.Name,
		csvIncarnation: numberText(uint32(row.Incarnation)),
		csvAgent:       string(row.Agent),
		csvWeight:      numberText(row.Weight),
		csvLimit:       numberText(row.ConnectionLimit),
		csvDrain:       strconv.FormatBool(row.Drain),
		csvZone:        row.Zone,
	}
}

// ReadCSV reads rows in the form of WriteCSV, with the names of services
// looked up among services. The result is sorted. A broken cell is returned
// as a CellError whose row is "line N"; the relations between rows are left
// to Validate.
func ReadCSV(input io.Reader, services []Service) ([]Backend, error) {
	reader := csv.NewReader(input)
	header, err := reader.Read()
	if err != nil {
		return nil, errors.Wrap(err, "CSV")
	}
	// Spreadsheet programs put a byte order mark in front.
	header[0] = strings.TrimPrefix(header[0], "\ufeff")
	if !slices.Equal(header, csvHeader) && !slices.Equal(header, csvHeader[:csvZone]) {
		return nil, errors.Errorf("CSV: the first line must be %q, or end before zone", strings.Join(csvHeader, ","))
	}
	var rows []Backend
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "CSV")
		}
		line, _ := reader.FieldPos(0)
		row, err := parseCSVRecord(csvLine{line, record}, services)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	parsed := Table{Backends: rows}
	parsed.Sort()
	return parsed.Backends, nil
}

// csvLine is one line below the header.
type csvLine struct {
	number int
	fields []string
}

func (l csvLine) broken(column int, rule string) error {
	return CellError{fmt.Sprintf("line %d", l.number), csvHeader[column], rule}
}

func (l csvLine) integer(column int) (uint32, error) {
	number, err := strconv.ParseUint(l.fields[column], 10, 32)
	if err != nil {
		return 0, l.broken(column, "must be a whole number from 0 to 4294967295")
	}
	return uint32(number), nil
}

func parseCSVRecord(line csvLine, services []Service) (Backend, error) {
	numbers := make([]uint32, len(csvHeader))
	for _, column := range []int{csvID, csvIncarnation, csvWeight, csvLimit} {
		number, err := line.integer(column)
		if err != nil {
			return Backend{}, err
		}
		numbers[column] = number
	}
	position := slices.IndexFunc(services, func(s Service) bool { return s.Name == line.fields[csvService] })
	if position < 0 {
		return Backend{}, line.broken(csvService, "names no service of the table")
	}
	drain, err := parseCSVFlag(line)
	if err != nil {
		return Backend{}, err
	}
	row := Backend{
		ID:              BackendID(numbers[csvID]),
		Service:         services[position].ID,
		Name:            line.fields[csvName],
		Incarnation:     Incarnation(numbers[csvIncarnation]),
		Agent:           Endpoint(line.fields[csvAgent]),
		Weight:          numbers[csvWeight],
		ConnectionLimit: numbers[csvLimit],
		Drain:           drain,
	}
	if len(line.fields) > csvZone {
		row.Zone = line.fields[csvZone]
	}
	return row, line.validate(row)
}

// validate checks the single cells of a row and names the line.
func (l csvLine) validate(row Backend) error {
	var broken CellError
	if errors.As(row.validate(), &broken) {
		broken.Row = fmt.Sprintf("line %d", l.number)
		return broken
	}
	return nil
}

// parseCSVFlag takes capitals too, since spreadsheet programs write TRUE.
func parseCSVFlag(line csvLine) (bool, error) {
	switch strings.ToLower(line.fields[csvDrain]) {
	case "true", "yes":
		return true, nil
	case "false", "no":
		return false, nil
	}
	return false, line.broken(csvDrain, "must be true or false")
}
