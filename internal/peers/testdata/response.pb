)cd€ø‚­ (2>
vm-1
biga*current08HÿÿÿÿÿÿÿÿÿR
req-1	"runningBvm-2