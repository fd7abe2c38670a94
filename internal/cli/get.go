package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// pageSize is how many items a list command requests at a time.
const pageSize = 500

func getCommand(env Env) *ffcli.Command {
	fs := newFlagSet("get", env)
	var flags clientFlags
	flags.register(fs)
	selector := fs.String("l", "", "label selector, for example team=a,tier!=b,batch")
	limit := fs.Int("limit", 0, "maximum number of items to print; 0 prints all")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "oleanderbend get [flags] KIND [NAME] | instances | request ID",
		ShortHelp:  "show resources, the instances, or the outcome of a write",
		LongHelp: `KIND is organisations, guarantees, policies or jobs, in the singular or plural.

EXAMPLES
  oleanderbend get jobs
  oleanderbend get -l team=a -o json jobs
  oleanderbend get policy default
  oleanderbend get instances
  oleanderbend get request 5f0c6b1e-7d8e-4a41-9d0e-0f7f6d1f2a11
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			c, err := flags.newClient()
			if err != nil {
				return err
			}
			return runGet(ctx, env, c, args, *selector, *limit)
		},
	}
}

func runGet(ctx context.Context, env Env, c *client, args []string, selector string, limit int) error {
	switch {
	case len(args) == 1 && args[0] == "instances":
		return getInstances(ctx, env, c)
	case len(args) == 2 && (args[0] == "request" || args[0] == "requests"):
		return getRequest(ctx, env, c, args[1])
	case len(args) != 1 && len(args) != 2:
		return eris.Wrap(errUsage, "get needs a kind and at most one name")
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return err
	}
	if len(args) == 2 {
		return getOne(ctx, env, c, kind, args[1])
	}
	return getList(ctx, env, c, kind, selector, limit)
}

func getOne(ctx context.Context, env Env, c *client, kind resource.Kind, name string) error {
	var raw json.RawMessage
	if _, err := c.getJSON(ctx, objectPath(kind, name), nil, &raw); err != nil {
		return err
	}
	if c.json {
		return writeJSON(env.Stdout, raw)
	}
	object, err := api.DecodeObject(kind, raw)
	if err != nil {
		return err
	}
	if err := printTable(env.Stdout, kind, []resource.Object{object}); err != nil {
		return err
	}
	return printDetails(env.Stdout, object)
}

// getList reads all pages of a list, up to limit items. The list has the version of its first page.
func getList(ctx context.Context, env Env, c *client, kind resource.Kind, selector string, limit int) error {
	all := api.List{Kind: kind, Items: []json.RawMessage{}}
	for {
		size := pageSize
		if limit > 0 {
			size = min(size, limit-len(all.Items))
		}
		query := url.Values{"limit": {strconv.Itoa(size)}}
		if selector != "" {
			query.Set("selector", selector)
		}
		if all.Continue != "" {
			query.Set("continue", all.Continue)
		}
		var page api.List
		if _, err := c.getJSON(ctx, "/v1/"+string(kind), query, &page); err != nil {
			return err
		}
		if all.ResourceVersion == 0 {
			all.ResourceVersion = page.ResourceVersion
		}
		all.Items = append(all.Items, page.Items...)
		all.Continue = page.Continue
		if page.Continue == "" || limit > 0 && len(all.Items) >= limit {
			break
		}
	}
	if c.json {
		return writeJSON(env.Stdout, all)
	}
	objects := make([]resource.Object, 0, len(all.Items))
	for _, item := range all.Items {
		object, err := api.DecodeObject(kind, item)
		if err != nil {
			return err
		}
		objects = append(objects, object)
	}
	return printTable(env.Stdout, kind, objects)
}

// printTable prints one line for each resource.
func printTable(w io.Writer, kind resource.Kind, objects []resource.Object) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	header := map[resource.Kind]string{
		resource.KindJob:          "NAME\tPHASE\tZONE\tORGANISATION\tMEMBERS\tACCELERATORS\tURGENCY\tVERSION\tREASON",
		resource.KindGuarantee:    "NAME\tORGANISATION\tZONE\tSHAPE\tADJACENCY\tHONOURABLE\tVERSION",
		resource.KindOrganisation: "NAME\tWEIGHT\tQUOTA\tVERSION",
		resource.KindPolicy:       "NAME\tGENERATION\tVERSION",
	}[kind]
	fmt.Fprintln(table, header)
	for _, object := range objects {
		fmt.Fprintln(table, tableRow(object))
	}
	return table.Flush()
}

func tableRow(object resource.Object) string {
	m := object.Meta()
	switch o := object.(type) {
	case *resource.Job:
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s", m.Name, o.Status.Phase, o.Status.Zone, o.Spec.Organisation,
			o.Spec.Members, o.Spec.Accelerators(), o.Spec.Urgency, m.ResourceVersion, o.Status.Reason)
	case *resource.Guarantee:
		return fmt.Sprintf("%s\t%s\t%s\t%dx%dx%d\t%s\t%s\t%d", m.Name, o.Spec.Organisation, o.Status.Zone, o.Spec.Gangs,
			o.Spec.Members, o.Spec.AcceleratorsPerMember, o.Spec.Adjacency, conditionText(o.Conditions, resource.ConditionHonourable), m.ResourceVersion)
	case *resource.Organisation:
		return fmt.Sprintf("%s\t%g\t%d\t%d", m.Name, o.Spec.Weight, o.Spec.AcceleratorQuota, m.ResourceVersion)
	default:
		return fmt.Sprintf("%s\t%d\t%d", m.Name, m.Generation, m.ResourceVersion)
	}
}

func conditionText(conditions []resource.Condition, kind string) string {
	for _, c := range conditions {
		if c.Type != kind {
			continue
		}
		if c.Status == resource.ConditionTrue {
			return string(c.Status)
		}
		return fmt.Sprintf("%s: %s", c.Status, c.Message)
	}
	return string(resource.ConditionUnknown)
}

// printDetails prints the conditions of a resource and the spec of a policy.
func printDetails(w io.Writer, object resource.Object) error {
	var conditions []resource.Condition
	switch o := object.(type) {
	case *resource.Job:
		conditions = o.Conditions
	case *resource.Guarantee:
		conditions = o.Conditions
	case *resource.Policy:
		return writeJSON(w, o.Spec.WithDefaults())
	}
	for _, c := range conditions {
		if err := printf(w, "%s=%s %s %s\n", c.Type, c.Status, c.Reason, c.Message); err != nil {
			return err
		}
	}
	return nil
}

func getInstances(ctx context.Context, env Env, c *client) error {
	var instances api.Instances
	got, err := c.getJSON(ctx, "/v1/instances", nil, &instances)
	if err != nil {
		return err
	}
	if c.json {
		return writeJSON(env.Stdout, json.RawMessage(got.body))
	}
	table := tabwriter.NewWriter(env.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tSTATUS\tREADY\tZONE\tREGION\tAPPLIED\tPOLICY")
	for _, m := range instances.Members {
		ready := "no"
		switch {
		case m.Info.Draining:
			ready = "draining"
		case m.Info.Ready:
			ready = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", m.Info.ID, m.Status, ready, m.Zone, m.Region, m.Info.Applied, m.Info.PolicyVersion)
	}
	return table.Flush()
}

func getRequest(ctx context.Context, env Env, c *client, id string) error {
	got, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id)})
	if err != nil {
		return err
	}
	var status api.RequestStatus
	if got.status != http.StatusOK && got.status != http.StatusNotFound || json.Unmarshal(got.body, &status) != nil {
		return got.err()
	}
	if c.json {
		return writeJSON(env.Stdout, json.RawMessage(got.body))
	}
	if !status.Known {
		return eris.Wrapf(errUnknownOutcome, "request %s: %s", id, status.Detail)
	}
	return printf(env.Stdout, "request %s: %s at version %d (%s) %s\n", id, status.Verdict.Code, status.Verdict.Offset, status.Verdict.Resource, status.Verdict.Message)
}
