//! Requests through a deployment of separate processes: fabric, balancers and upstreams.

mod support;

use {
    coap_lite::{MessageClass, RequestType, ResponseType},
    skylarkflow_emulator::caller::Caller,
    std::time::Duration,
    support::{Deployment, wait_until_answered},
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a balancer that does not forward a datagram to the owner of its flow: with four balancers and a
/// fabric that sends each datagram to a random one, most datagrams arrive at a balancer that does not own the flow.
#[tokio::test]
async fn a_request_is_served_through_the_owner_of_its_flow() {
    let deployment = Deployment::start(&["dispatch"], 4).await;
    wait_until_answered(deployment.services[0]);
    for _ in 0..20 {
        let mut caller = Caller::new(deployment.services[0]).expect("a socket");
        let response = caller
            .request(RequestType::Post, "weights", RESPONSE_TIMEOUT)
            .expect("a response");
        assert_eq!(
            response.header.code,
            MessageClass::Response(ResponseType::Created)
        );
        assert!(response.payload.starts_with(b"dispatch-1 "));
    }
}

/// Guards against a request that is dispatched to an upstream of another service.
#[tokio::test]
async fn no_request_reaches_another_service() {
    let deployment = Deployment::start(&["dispatch", "manifests"], 4).await;
    for (service, name) in deployment
        .services
        .iter()
        .zip(["dispatch-1 ", "manifests-1 "])
    {
        wait_until_answered(*service);
        for _ in 0..20 {
            let mut caller = Caller::new(*service).expect("a socket");
            let response = caller
                .request(RequestType::Get, "stops", RESPONSE_TIMEOUT)
                .expect("a response");
            assert!(response.payload.starts_with(name.as_bytes()));
        }
    }
}
