//! Opens and closes upstreams according to the health reports.

use {
    crate::{
        shared::Shared,
        tables::{Groups, Target},
    },
    std::{collections::BTreeMap, sync::Arc, time::Instant},
    turmerictack_model::ids::DataCentre,
    turmerictack_platform::instance::Instance,
    turmerictack_routing::{UpstreamId, upstream_set::OpenUpstream},
    turmerictack_settings::services::{Service, ServiceKind, Services},
};

/// Open upstreams of one service.
type OpenUpstreams = BTreeMap<UpstreamId, OpenUpstream>;

impl Shared {
    /// Updates the set of open upstreams, and dispatches waiting calls.
    pub async fn refresh_upstreams(self: &Arc<Self>) {
        let job_shared = Arc::clone(self);
        self.run_job(move || job_shared.update_upstreams()).await;
    }

    fn update_upstreams(&self) {
        let Some(services) = self.tables.services() else {
            return;
        };
        let now = self.clock().now();
        let live = self.tables.members.lock().live_nodes().len().max(1);
        let open = {
            let mut groups = self.tables.groups.lock();
            let open = groups.open_by_service(now, &services, &self.settings.data_centre);
            groups.targets =
                open.values().flatten().map(|(id, (_, t))| (id.clone(), t.clone())).collect();
            open
        };
        {
            let mut upstreams = self.tables.upstreams.lock();
            for service in &services.services {
                let share = service.in_flight.div_ceil(live);
                let upstream_set = upstreams.by_service.entry(service.id.clone()).or_default();
                let open_upstreams: OpenUpstreams = open
                    .get(&service.id)
                    .map(|o| {
                        o.iter()
                            .map(|(id, (open_upstream, _))| (id.clone(), *open_upstream))
                            .collect()
                    })
                    .unwrap_or_default();
                upstream_set.set_open(now, &open_upstreams, share);
            }
            upstreams.by_service.retain(|id, upstream_set| {
                services.service(id).is_some()
                    || upstream_set.upstreams().iter().any(|u| u.in_flight > 0)
            });
        }
        for service in &services.services {
            self.proxy.coordinator.dispatch_waiting(&service.id);
        }
    }
}

/// Open upstreams of each service, with their targets.
type OpenByService = BTreeMap<String, BTreeMap<UpstreamId, (OpenUpstream, Target)>>;

impl Groups {
    /// Finds the open upstreams of each service.
    fn open_by_service(
        &self,
        now: Instant,
        services: &Services,
        local_data_centre: &DataCentre,
    ) -> OpenByService {
        let mut open = OpenByService::new();
        for service in &services.services {
            let targets = match service.kind {
                ServiceKind::Model => self.open_groups(now, service, local_data_centre),
                ServiceKind::Plain => self.open_instances(now, service, local_data_centre),
            };
            open.insert(service.id.clone(), targets);
        }
        open
    }

    /// State of an open upstream, from the health report of the instance that receives its calls.
    fn open_upstream(
        &self,
        now: Instant,
        instance: &Instance,
        local_data_centre: &DataCentre,
    ) -> OpenUpstream {
        let requested_at =
            self.health.get(&instance.id).map_or(now, |received| received.requested_at);
        OpenUpstream { local: instance.data_centre == *local_data_centre, requested_at }
    }

    fn open_groups(
        &self,
        now: Instant,
        service: &Service,
        local_data_centre: &DataCentre,
    ) -> BTreeMap<UpstreamId, (OpenUpstream, Target)> {
        let claims = self.health.serving_groups(now).into_iter();
        claims
            .filter_map(|claim| {
                let first = self.instances.get(claim.members.first()?)?;
                let listed = claim.members.iter().all(|m| self.instances.contains_key(m));
                if first.pool != service.pool || !listed {
                    return None;
                }
                let group = Some((claim.group.clone(), claim.epoch));
                let target = Target { address: first.address.clone(), group };
                Some((claim.group, (self.open_upstream(now, first, local_data_centre), target)))
            })
            .collect()
    }

    fn open_instances(
        &self,
        now: Instant,
        service: &Service,
        local_data_centre: &DataCentre,
    ) -> BTreeMap<UpstreamId, (OpenUpstream, Target)> {
        self.instances
            .values()
            .filter(|i| i.pool == service.pool)
            .filter(|i| self.health.check_instance(&i.id, now).is_ok())
            .map(|i| {
                let target = Target { address: i.address.clone(), group: None };
                (i.id.clone(), (self.open_upstream(now, i, local_data_centre), target))
            })
            .collect()
    }
}
