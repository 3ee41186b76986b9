// This file reads and writes rows as comma-separated values (RFC 4180) for spreadsheet
// programs.

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

// csvHeader is the header line. Services are written by name; the other columns are those of
// a back end. The last column is written only if any row has a zone.
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

// WriteCSV writes the rows of a table as comma-separated values with a header line, in order
// of their identifiers. It omits removed rows.
func WriteCSV(output io.Writer, written *Table) error {
	writer := csv.NewWriter(output)
	columns := csvZone
	if slices.ContainsFunc(written.Backends, func(row Backend) bool { return row.Zone != "" }) {
		columns = len(csvHeader)
	}
	if err := writer.Write(csvHeader[:columns]); err != nil {
		return errors.Wrap(err, "write CSV header")
	}
	sorted := written.Clone()
	sorted.Sort()
	for _, row := range withoutRemoved(sorted.Backends) {
		service, _ := written.Service(row.Service)
		if err := writer.Write(csvRecord(service.Name, row)[:columns]); err != nil {
			return errors.Wrap(err, "write CSV row")
		}
	}
	writer.Flush()
	return errors.Wrap(writer.Error(), "write CSV")
}

func csvRecord(service string, row Backend) []string {
	return []string{
		csvService:     service,
		csvID:          formatNumber(uint32(row.ID)),
		csvName:        row.Name,
		csvIncarnation: formatNumber(uint32(row.Incarnation)),
		csvAgent:       string(row.Agent),
		csvWeight:      formatNumber(row.Weight),
		csvLimit:       formatNumber(row.ConnectionLimit),
		csvDrain:       strconv.FormatBool(row.Drain),
		csvZone:        row.Zone,
	}
}

// ReadCSV reads rows in the format of WriteCSV and sorts them. It looks up the names of
// services in services. An invalid cell is returned as a CellError whose row is "line N".
// ReadCSV does not check the relations between rows, which Validate does.
func ReadCSV(input io.Reader, services []Service) ([]Backend, error) {
	reader := csv.NewReader(input)
	header, err := reader.Read()
	if err != nil {
		return nil, errors.Wrap(err, "read CSV header")
	}
	// Spreadsheet programs write a byte order mark at the start.
	header[0] = strings.TrimPrefix(header[0], "\ufeff")
	if !slices.Equal(header, csvHeader) && !slices.Equal(header, csvHeader[:csvZone]) {
		return nil, errors.Errorf("CSV: the first line must be %q, where the column zone may be missing", strings.Join(csvHeader, ","))
	}
	var rows []Backend
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "read CSV row")
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

func (l csvLine) cellError(column int, rule string) error {
	return CellError{fmt.Sprintf("line %d", l.number), csvHeader[column], rule}
}

func (l csvLine) integer(column int) (uint32, error) {
	number, err := strconv.ParseUint(l.fields[column], 10, 32)
	if err != nil {
		return 0, l.cellError(column, "must be a whole number from 0 to 4294967295")
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
		return Backend{}, line.cellError(csvService, "names no service of the table")
	}
	drain, err := parseCSVDrain(line)
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

// validate checks the cells of a row. A CellError names the line.
func (l csvLine) validate(row Backend) error {
	var cellError CellError
	if errors.As(row.validate(), &cellError) {
		cellError.Row = fmt.Sprintf("line %d", l.number)
		return cellError
	}
	return nil
}

// parseCSVDrain parses the drain flag. It ignores case, since spreadsheet programs write
// TRUE.
func parseCSVDrain(line csvLine) (bool, error) {
	switch strings.ToLower(line.fields[csvDrain]) {
	case "true", "yes":
		return true, nil
	case "false", "no":
		return false, nil
	}
	return false, line.cellError(csvDrain, "must be true or false")
}
