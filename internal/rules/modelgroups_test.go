package rules_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

func modelGroup(service cluster.Service, model string) rules.Group {
	return rules.Group{Name: rules.ModelGroupName(service, model), Model: model, Servers: service, VMs: 1}
}

// Guards against calls that reach another service than their route's because that one has the model or the name too.
func TestTargetGroupIsOfTheService(t *testing.T) {
	set := &rules.Set{Groups: []rules.Group{modelGroup("a", "m"), modelGroup("a", "only-a"), modelGroup("b", "m")}}
	groups := make(map[cluster.GroupName]string)
	for _, service := range []cluster.Service{"a", "b", "a/m", "service:a", "plain"} {
		for _, model := range []string{"", "m", "only-a"} {
			name, ofModel := set.TargetGroup(service, model)
			require.Equal(t, (service == "a" || service == "b") && model != "", ofModel, "%s %s", service, model)
			if other, used := groups[name]; used {
				require.Equal(t, other, string(service), "%s is shared", name)
			}
			groups[name] = string(service)
		}
	}
	name, _ := set.TargetGroup("b", "only-a")
	require.Nil(t, rules.Assemble(*set).GroupByName(name), "a service without the model has no replica of it")
}

// Guards against nodes of different versions that do not understand each other's reports of work.
func TestSharedNameIsTheModelUnlessTwoServicesHaveIt(t *testing.T) {
	set := &rules.Set{Groups: []rules.Group{modelGroup("a", "m"), modelGroup("a", "only-a"), modelGroup("b", "m")}}
	require.Equal(t, cluster.GroupName("only-a"), set.SharedName(rules.ModelGroupName("a", "only-a")))
	require.NotEqual(t, set.SharedName(rules.ModelGroupName("a", "m")), set.SharedName(rules.ModelGroupName("b", "m")))
	set.Groups = set.Groups[:2]
	require.Equal(t, cluster.GroupName("m"), set.SharedName(rules.ModelGroupName("a", "m")))
}
