/** Stand-ins and cases of the second review: clients, upstreams, discovery and the platform. */
package review2;
